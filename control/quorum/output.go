package quorum

import (
	"math"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Output is what a replica wants done. The writes come first and must be
// durable before Messages are sent; Early may be sent before.
type Output struct {
	vote      *wire.SavedVote
	snapshot  *wire.LogSnapshot
	entries   []*wire.LogEntry
	early     []*wire.QuorumMessage
	messages  []*wire.QuorumMessage
	committed []*wire.LogEntry
	reads     []ReadResult
}

// Vote returns the term and vote to write, or nil.
func (o *Output) Vote() *wire.SavedVote { return o.vote }

// Snapshot returns a snapshot that replaces log and state, or nil.
func (o *Output) Snapshot() *wire.LogSnapshot { return o.snapshot }

// Entries returns the entries to write. They replace all entries from the
// first one's index on.
func (o *Output) Entries() []*wire.LogEntry { return o.entries }

// EarlyMessages returns messages that need not wait for the writes.
func (o *Output) EarlyMessages() []*wire.QuorumMessage { return o.early }

// Messages returns messages to send once the writes are durable. A snapshot
// message carries no state: the sender attaches its newest snapshot.
func (o *Output) Messages() []*wire.QuorumMessage { return o.messages }

// Committed returns the entries to apply, in order.
func (o *Output) Committed() []*wire.LogEntry { return o.committed }

// Reads returns the reads that were decided.
func (o *Output) Reads() []ReadResult { return o.reads }

// NeedsWrite reports whether there is anything to make durable.
func (o *Output) NeedsWrite() bool {
	return o.vote != nil || o.snapshot != nil || len(o.entries) > 0
}

// Empty reports whether there is nothing to do.
func (o *Output) Empty() bool {
	return !o.NeedsWrite() && len(o.early)+len(o.messages)+len(o.committed)+len(o.reads) == 0
}

// Take returns what is to be done now. Once the writes are durable, and before
// any other call, the caller calls Persisted.
func (r *Replica) Take() Output {
	early := r.role == Leader && !r.voteDirty
	sent := len(r.out.messages)
	if r.role == Leader {
		r.startReadRound()
		r.sendAppends()
		r.reads.decide(r)
	}
	out := r.out
	r.out = Output{}
	if early {
		out.early = out.messages[sent:]
		out.messages = out.messages[:sent:sent]
	}
	if r.voteDirty {
		out.vote = &wire.SavedVote{Term: r.term, Vote: r.vote}
		r.voteDirty = false
	}
	out.entries = r.log.slice(r.log.taken+1, math.MaxInt)
	r.log.taken = r.log.lastIndex()
	out.committed = r.takeCommitted()
	return out
}

func (r *Replica) takeCommitted() []*wire.LogEntry {
	upTo := min(r.log.commit, r.log.stable)
	if upTo <= r.log.applied {
		return nil
	}
	from := r.log.applied - r.log.offset
	committed := r.log.entries[from : upTo-r.log.offset : upTo-r.log.offset]
	r.log.applied = upTo
	return committed
}

// Persisted tells that all writes of the last Take are durable.
func (r *Replica) Persisted() {
	r.log.stable = r.log.taken
	if r.role == Leader {
		r.advanceCommit()
	}
}
