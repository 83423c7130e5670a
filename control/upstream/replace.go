package upstream

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/world/wire"
)

var heldBack = metrics.GetOrCreateCounter("snipebeam_announcements_held_back_total")

// mayReplace reports whether an announcement may be committed although it ends the record of
// another instance at its address, or changes the service of its own. It may if a rule names
// its service, or if the record is of an instance that has ended as far as is known. The
// drain of a recorded instance changes its record whatever service it states: an acknowledged
// drain must reach the entry hosts.
//
// The check precedes the commit and is no part of how a command is applied, so that control
// hosts of earlier builds apply the same commands in the same way.
func (i *Instances) mayReplace(known, m *wire.Instance) bool {
	if i.named(m.GetService()) {
		return true
	}
	drains := m.GetDraining() && known.GetIncarnation() == m.GetIncarnation()
	if known.GetService() != m.GetService() && !drains && !i.replaceable(known) {
		return false
	}
	other := i.machine.InstanceAt(m.GetAddress())
	return other.GetId() == m.GetId() || i.replaceable(other)
}

// wait is the time for which an announcement that is held back has met a silent record.
type wait struct{ since, last time.Time }

// replaceable reports whether a record is of an instance that has ended, or that announced
// nothing for another lease after an announcement first met its silent record. All records are
// silent after the control group had no quorum for a lease, and their instances need the time
// to announce themselves again.
func (i *Instances) replaceable(record *wire.Instance) bool {
	if record == nil || record.GetGone() {
		return true
	}
	quorum := i.log.Status().Quorum()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !record.GetSilent() || !quorum {
		delete(i.waits, record.GetId())
		return false
	}
	now := time.Now()
	w, ok := i.waits[record.GetId()]
	if !ok || i.interrupted(w, now) {
		w.since = now
	}
	w.last = now
	i.waits[record.GetId()] = w
	return now.Sub(w.since) >= i.lease
}

// interrupted reports whether announcements have stopped during a wait. Two leases allow for
// instances that announce themselves to each of five control hosts in turn.
func (i *Instances) interrupted(w wait, now time.Time) bool { return now.Sub(w.last) >= 2*i.lease }

// holdBack acknowledges an announcement that is not committed. Its instance gets no requests,
// as no rule names its service, and announces itself again.
func (i *Instances) holdBack(m *wire.Instance) error {
	if !i.log.Status().Quorum() {
		return ErrNoQuorum
	}
	heldBack.Inc()
	i.logger.Debug("announcement of a service that no rule names is held back", "instance", m.GetId(), "service", m.GetService(), "address", m.GetAddress())
	return nil
}
