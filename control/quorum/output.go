package quorum

import (
	"math"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Output lists the pending work of a replica. Vote, Snapshot and Entries must be
// durable before Messages are sent; EarlyMessages may be sent before.
type Output struct {
	vote          *wire.SavedVote
	snapshot      *wire.LogSnapshot
	entries       []*wire.LogEntry
	earlyMessages []*wire.QuorumMessage
	messages      []*wire.QuorumMessage
	committed     []*wire.LogEntry
	reads         []ReadResult
}

// Vote returns the term and vote to persist, or nil.
func (o *Output) Vote() *wire.SavedVote { return o.vote }

// Snapshot returns a received snapshot that replaces the log and the state, or
// nil.
func (o *Output) Snapshot() *wire.LogSnapshot { return o.snapshot }

// Entries returns the log entries to persist. They overwrite the stored log from
// the index of the first one.
func (o *Output) Entries() []*wire.LogEntry { return o.entries }

// EarlyMessages returns messages that can be sent in parallel with the writes,
// such as a leader's appends.
func (o *Output) EarlyMessages() []*wire.QuorumMessage { return o.earlyMessages }

// Messages returns messages to send once the writes are durable. Snapshot messages
// have no snapshot attached: the transport attaches its newest one.
func (o *Output) Messages() []*wire.QuorumMessage { return o.messages }

// Committed returns the committed entries to apply, in log order.
func (o *Output) Committed() []*wire.LogEntry { return o.committed }

// Reads returns the results of completed read requests.
func (o *Output) Reads() []ReadResult { return o.reads }

// NeedsWrite reports whether there is anything to persist.
func (o *Output) NeedsWrite() bool {
	return o.vote != nil || o.snapshot != nil || len(o.entries) > 0
}

// Empty reports whether there is no pending work.
func (o *Output) Empty() bool {
	return !o.NeedsWrite() && len(o.earlyMessages)+len(o.messages)+len(o.committed)+len(o.reads) == 0
}

// Take returns and clears the pending work. Once the writes are durable, and
// before any other method is used, Persisted must be called.
func (r *Replica) Take() Output {
	early := r.role == Leader && !r.voteDirty
	queued := len(r.out.messages)
	if r.role == Leader {
		r.startReadRound()
		r.sendAppends()
		r.reads.confirm(r)
	}
	out := r.out
	r.out = Output{}
	if early {
		out.earlyMessages = out.messages[queued:]
		out.messages = out.messages[:queued:queued]
	}
	if r.voteDirty {
		out.vote = &wire.SavedVote{Term: r.term, Vote: r.vote}
		r.voteDirty = false
	}
	out.entries = r.log.slice(r.log.writing+1, math.MaxInt)
	r.log.writing = r.log.lastIndex()
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

// Persisted confirms that all writes of the last Take are durable.
func (r *Replica) Persisted() {
	r.log.stable = r.log.writing
	if r.role == Leader {
		r.advanceCommit()
	}
}
