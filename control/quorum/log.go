package quorum

import (
	"fmt"

	"github.com/snipebeam/snipebeam/world/wire"
)

// entryLog is the in-memory log of the entries since the last compaction.
type entryLog struct {
	offset     uint64 // index of the last compacted entry
	offsetTerm uint64
	entries    []*wire.LogEntry // entries[0] has index offset+1
	commit     uint64
	applied    uint64 // last index returned by Take for application
	stable     uint64 // last index that is durable on the local disk
	writing    uint64 // last index returned by Take for writing
	bytes      int    // total data size of entries
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
	l.writing = l.stable
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at an index, or false if the entry was
// compacted or is beyond the end of the log.
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
	local, ok := l.term(index)
	return ok && local == term
}

func (l *entryLog) push(e *wire.LogEntry) {
	if e.GetIndex() != l.lastIndex()+1 {
		panic(fmt.Sprintf("quorum: appended entry %d is not consecutive to last entry %d", e.GetIndex(), l.lastIndex()))
	}
	l.entries = append(l.entries, e)
	l.bytes += len(e.GetData())
}

// truncate drops all entries with an index of from or higher.
func (l *entryLog) truncate(from uint64) {
	if from <= l.commit {
		panic(fmt.Sprintf("quorum: cannot truncate log from committed entry %d", from))
	}
	for _, e := range l.entries[from-l.offset-1:] {
		l.bytes -= len(e.GetData())
	}
	l.entries = l.entries[: from-l.offset-1 : from-l.offset-1]
	l.stable = min(l.stable, from-1)
	l.writing = min(l.writing, from-1)
}

// slice returns consecutive entries starting at index from, limited to maxBytes
// of data. It returns at least one entry if there is any.
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

// compact drops the entries up to and including an applied index. It copies the
// remaining entries, so that the old array can be freed.
func (l *entryLog) compact(upTo uint64) {
	if upTo <= l.offset {
		return
	}
	term, ok := l.term(upTo)
	if !ok || upTo > l.applied {
		panic(fmt.Sprintf("quorum: cannot compact log up to entry %d", upTo))
	}
	kept := append([]*wire.LogEntry(nil), l.entries[upTo-l.offset:]...)
	l.offset, l.offsetTerm, l.entries, l.bytes = upTo, term, nil, 0
	for _, e := range kept {
		l.push(e)
	}
}

// reset discards all entries and continues after the snapshot.
func (l *entryLog) reset(snapshot *wire.LogSnapshot) {
	index := snapshot.GetIndex()
	*l = entryLog{
		offset: index, offsetTerm: snapshot.GetTerm(),
		commit: index, applied: index, stable: index, writing: index,
	}
}

// upToDate reports whether a candidate's log is at least as up to date as the
// local log: a higher last term wins, then a higher last index.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
