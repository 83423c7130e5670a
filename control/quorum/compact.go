package quorum

import (
	"github.com/snipebeam/snipebeam/world/wire"
)

// SnapshotMeta returns the index, term and membership for a snapshot taken at
// the last applied entry.
func (r *Replica) SnapshotMeta() *wire.LogSnapshot {
	term, _ := r.log.term(r.log.applied)
	return &wire.LogSnapshot{
		Index: r.log.applied, Term: term, Members: &wire.Members{Members: r.members.at(r.log.applied)},
	}
}

// Compact drops the entries that a durable snapshot covers. It retains the last
// keepBytes of them, so that a replica that lags slightly can catch up from the
// log instead of a snapshot.
func (r *Replica) Compact(snapshotIndex uint64, keepBytes int) {
	upTo := r.log.compactionIndex(min(snapshotIndex, r.log.applied), keepBytes)
	if upTo <= r.log.offset {
		return
	}
	r.log.compact(upTo)
	r.members.compact(upTo)
}

// compactionIndex returns the index up to which the log can be compacted if the
// last keepBytes of entries up to index are retained.
func (l *entryLog) compactionIndex(index uint64, keepBytes int) uint64 {
	size := 0
	for ; index > l.offset; index-- {
		size += len(l.entries[index-l.offset-1].GetData()) + entryOverheadBytes
		if size > keepBytes {
			return index
		}
	}
	return index
}

// entryOverheadBytes is the memory that an entry takes in addition to its data, in
// bytes.
const entryOverheadBytes = 128

// LogBytes returns the total data size of the entries held in memory.
func (r *Replica) LogBytes() int { return r.log.bytes }
