package quorum_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

func entry(index, term uint64) *wire.LogEntry {
	return &wire.LogEntry{Index: index, Term: term, Kind: wire.EntryKind_ENTRY_COMMAND, Data: []byte("x")}
}

// An append whose entries do not follow each other, or that changes a committed one, ended the
// process of the control host that received it.
func TestMalformedAppendIsIgnored(t *testing.T) {
	valid := &wire.QuorumMessage{Kind: wire.QuorumKind_QUORUM_APPEND, Term: 2, Index: 1, LogTerm: 1, Entries: []*wire.LogEntry{entry(2, 2), entry(3, 2)}, Commit: 3}
	malformed := map[string]*wire.QuorumMessage{
		"gap":                  {Index: 3, LogTerm: 2, Entries: []*wire.LogEntry{entry(5, 2)}},
		"missing entry":        {Index: 3, LogTerm: 2, Entries: []*wire.LogEntry{entry(4, 2), entry(6, 2)}},
		"no index":             {Index: 3, LogTerm: 2, Entries: []*wire.LogEntry{{}}},
		"before its index":     {Index: 3, LogTerm: 2, Entries: []*wire.LogEntry{entry(2, 1), entry(3, 1)}},
		"newer than its term":  {Index: 3, LogTerm: 2, Entries: []*wire.LogEntry{entry(4, 9)}},
		"terms that fall":      {Index: 3, LogTerm: 2, Entries: []*wire.LogEntry{entry(4, 2), entry(5, 1)}},
		"membership with none": {Index: 3, LogTerm: 2, Entries: []*wire.LogEntry{{Index: 4, Term: 2, Kind: wire.EntryKind_ENTRY_MEMBERS}}},
	}
	for name, m := range malformed {
		t.Run(name, func(t *testing.T) {
			r := newReplica("a", quorum.PersistentState{Vote: &wire.SavedVote{Term: 1}, Entries: []*wire.LogEntry{membersEntry("a", "b", "c")}})
			step(r, valid)
			m.Kind, m.Term = wire.QuorumKind_QUORUM_APPEND, 2
			step(r, m)
			must.Eq(t, 3, r.LastIndex())
			must.Eq(t, 3, r.CommitIndex())
			must.Len(t, 3, r.Members())
		})
	}
}

// step delivers a message from b and completes what it causes.
func step(r *quorum.Replica, m *wire.QuorumMessage) {
	m.From, m.To = "b", r.ID()
	r.Step(m)
	for {
		out := r.Take()
		if out.Empty() {
			return
		}
		r.Persisted()
	}
}

// FuzzStep delivers arbitrary messages to a follower and to a leader.
func FuzzStep(f *testing.F) {
	for _, m := range []*wire.QuorumMessage{
		{Kind: wire.QuorumKind_QUORUM_APPEND, Term: 2, Index: 1, LogTerm: 1, Entries: []*wire.LogEntry{entry(2, 2)}, Commit: 9},
		{Kind: wire.QuorumKind_QUORUM_APPEND_ANSWER, Term: 2, Index: 1 << 60, Round: 7},
		{Kind: wire.QuorumKind_QUORUM_APPEND_ANSWER, Term: 2, Index: 1, Reject: true, Hint: 1 << 63},
		{Kind: wire.QuorumKind_QUORUM_SNAPSHOT, Term: 2, Snapshot: &wire.LogSnapshot{Index: 5, Term: 2}},
		{Kind: wire.QuorumKind_QUORUM_VOTE, Term: 3, Index: 9, LogTerm: 9, Transfer: true},
		{Kind: wire.QuorumKind_QUORUM_TIMEOUT_NOW, Term: 2},
	} {
		data, err := proto.Marshal(&wire.StepRequest{Messages: []*wire.QuorumMessage{m, m}})
		must.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		req := &wire.StepRequest{}
		if proto.Unmarshal(data, req) != nil {
			return
		}
		for _, leads := range []bool{false, true} {
			r := newReplica("a", quorum.PersistentState{Vote: &wire.SavedVote{Term: 1}, Entries: []*wire.LogEntry{membersEntry("a", "b", "c")}})
			if leads {
				for range 3 * electionTicks {
					r.Tick()
				}
				step(r, &wire.QuorumMessage{Kind: wire.QuorumKind_QUORUM_PRE_VOTE_ANSWER, Term: 2})
				step(r, &wire.QuorumMessage{Kind: wire.QuorumKind_QUORUM_VOTE_ANSWER, Term: 2})
			}
			for _, m := range req.GetMessages() {
				step(r, proto.Clone(m).(*wire.QuorumMessage))
				r.Tick()
			}
		}
	})
}
