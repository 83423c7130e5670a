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

// Compact drops the entries that a durable snapshot covers, but for the last
// ones up to a size, which replicas a little behind may still need.
func (r *Replica) Compact(snapshotIndex uint64, keepBytes int) {
	upTo := r.log.keepFrom(min(snapshotIndex, r.log.applied), keepBytes)
	if upTo <= r.log.offset {
		return
	}
	r.log.compact(upTo)
	r.members.compact(upTo)
}

// keepFrom returns the index before the last entries of a size up to an index.
func (l *entryLog) keepFrom(index uint64, keepBytes int) uint64 {
	size := 0
	for ; index > l.offset; index-- {
		size += len(l.entries[index-l.offset-1].GetData()) + entryOverhead
		if size > keepBytes {
			return index
		}
	}
	return index
}

// entryOverhead is what an entry takes in memory beside its data, in bytes.
const entryOverhead = 128

// LogBytes returns the size of the entries kept in memory.
func (r *Replica) LogBytes() int { return r.log.bytes }
