package quorum

import (
	"github.com/snipebeam/snipebeam/world/wire"
)

// SnapshotMeta describes a snapshot of the state at the last applied entry.
func (r *Replica) SnapshotMeta() *wire.LogSnapshot {
	term, _ := r.log.term(r.log.applied)
	return &wire.LogSnapshot{
		Index: r.log.applied, Term: term, Members: &wire.Members{Members: r.members.at(r.log.applied)},
	}
}

// Compact drops the entries that a durable snapshot covers, but for some that
// replicas a little behind may still need.
func (r *Replica) Compact(snapshotIndex, keep uint64) {
	if snapshotIndex < keep {
		return
	}
	upTo := min(snapshotIndex-keep, r.log.applied)
	if upTo <= r.log.offset {
		return
	}
	r.log.compact(upTo)
	r.members.compact(upTo)
}

// LogBytes returns the size of the entries kept in memory.
func (r *Replica) LogBytes() int { return r.log.bytes }
