package upstream

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/world/wire"
)

var heldBack = metrics.GetOrCreateCounter("snipebeam_announcements_held_back_total")

// mayReplace reports whether an announcement may be committed although it ends the record of
// another instance at its address, or changes the service of its own. It may if a rule names
// its service, or if the record is of an instance that announced nothing within its lease. The
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
	if announcesItself(known) && known.GetService() != m.GetService() && !drains {
		return false
	}
	other := i.machine.InstanceAt(m.GetAddress())
	return other.GetId() == m.GetId() || !announcesItself(other)
}

// announcesItself reports whether a record is of an instance that announced itself within its
// lease.
func announcesItself(record *wire.Instance) bool {
	return record != nil && !record.GetGone() && !record.GetSilent()
}

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
