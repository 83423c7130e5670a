package peer

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// report lists the members that have not answered this leader lately, for the replicas that
// may lead after it.
func (r *reconciler) report(members []memberState, now time.Time) []*wire.UnreachableMember {
	var silent []*wire.UnreachableMember
	for _, m := range members {
		if m.reachable && m.answered {
			continue
		}
		entry := &wire.UnreachableMember{Identity: m.member.GetIdentity()}
		if since, recorded := r.unreachableSince[entry.GetIdentity()]; recorded {
			entry.ForMs = uint64(max(now.Sub(since).Milliseconds(), 1))
		}
		silent = append(silent, entry)
	}
	return silent
}

// learn takes over the report of the leader. Durations are exchanged, as clocks differ.
func (r *reconciler) learn(report []*wire.UnreachableMember, now time.Time) {
	listed := map[string]bool{}
	for _, m := range report {
		id := m.GetIdentity()
		listed[id] = true
		if m.GetForMs() == 0 {
			continue
		}
		since := now.Add(-time.Duration(m.GetForMs()) * time.Millisecond)
		if known, recorded := r.unreachableSince[id]; !recorded || since.Before(known) {
			r.unreachableSince[id] = since
		}
	}
	for id := range r.unreachableSince {
		if !listed[id] {
			delete(r.unreachableSince, id)
		}
	}
}
