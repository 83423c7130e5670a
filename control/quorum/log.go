package quorum

import (
	"fmt"

	"github.com/snipebeam/snipebeam/world/wire"
)

// entryLog holds the entries since the last compaction.
type entryLog struct {
	offset     uint64 // index of the last entry that was compacted away
	offsetTerm uint64
	entries    []*wire.LogEntry // entries[0] has index offset+1
	commit     uint64
	applied    uint64 // last index handed out to be applied
	stable     uint64 // last index known to be durable here
	taken      uint64 // last index handed out to be written
	bytes      int    // size of the entries' data
}

func newEntryLog(saved PersistentState) entryLog {
	index := saved.Snapshot.GetIndex()
	l := entryLog{offset: index, offsetTerm: saved.Snapshot.GetTerm(), commit: index, applied: index}
	for _, e := range saved.Entries {
		if e.GetIndex() > index {
			l.push(e)
		}
	}
	l.stable = l.lastIndex()
	l.taken = l.stable
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at an index, if it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.offset-1].GetTerm(), true
}

func (l *entryLog) matches(index, term uint64) bool {
	have, ok := l.term(index)
	return ok && have == term
}

func (l *entryLog) push(e *wire.LogEntry) {
	if e.GetIndex() != l.lastIndex()+1 {
		panic(fmt.Sprintf("quorum: entry %d does not follow %d", e.GetIndex(), l.lastIndex()))
	}
	l.entries = append(l.entries, e)
	l.bytes += len(e.GetData())
}

// truncate drops the entries from an index on.
func (l *entryLog) truncate(from uint64) {
	if from <= l.commit {
		panic(fmt.Sprintf("quorum: entry %d is committed and cannot be replaced", from))
	}
	for _, e := range l.entries[from-l.offset-1:] {
		l.bytes -= len(e.GetData())
	}
	l.entries = l.entries[: from-l.offset-1 : from-l.offset-1]
	l.stable = min(l.stable, from-1)
	l.taken = min(l.taken, from-1)
}

// slice returns entries from an index on, up to a size, at least one.
func (l *entryLog) slice(from uint64, maxBytes int) []*wire.LogEntry {
	if from > l.lastIndex() {
		return nil
	}
	rest := l.entries[from-l.offset-1:]
	size := 0
	for n, e := range rest {
		size += len(e.GetData())
		if n > 0 && size > maxBytes {
			return rest[:n:n]
		}
	}
	return rest[:len(rest):len(rest)]
}

// compact drops the entries up to an index that was applied.
func (l *entryLog) compact(upTo uint64) {
	if upTo <= l.offset {
		return
	}
	term, ok := l.term(upTo)
	if !ok || upTo > l.applied {
		panic(fmt.Sprintf("quorum: entry %d cannot be compacted", upTo))
	}
	kept := append([]*wire.LogEntry(nil), l.entries[upTo-l.offset:]...)
	l.offset, l.offsetTerm, l.entries, l.bytes = upTo, term, nil, 0
	for _, e := range kept {
		l.push(e)
	}
}

// reset replaces the whole log by a snapshot.
func (l *entryLog) reset(snapshot *wire.LogSnapshot) {
	index := snapshot.GetIndex()
	*l = entryLog{
		offset: index, offsetTerm: snapshot.GetTerm(),
		commit: index, applied: index, stable: index, taken: index,
	}
}

// upToDate reports whether a candidate's log is at least as new as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
