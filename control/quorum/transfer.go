package quorum

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
)

// ErrNoSuccessor means that there is no voter that could lead.
var ErrNoSuccessor = errors.New("no other voter can take over the leadership")

// transfer is a handover of the leadership that is going on.
type transfer struct {
	to   string
	sent bool
}

func (t *transfer) active() bool { return t.to != "" }

func (t *transfer) clear() { *t = transfer{} }

// Transfer hands the leadership to a voter; an empty identity chooses the one
// with the newest log. No proposals are taken until it is done or given up.
func (r *Replica) Transfer(to string) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if to == "" {
		to = r.successor()
	}
	if to == r.id || r.peers[to] == nil || !r.members.isVoter(to) {
		return ErrNoSuccessor
	}
	r.transfer = transfer{to: to}
	r.elapsed = 0
	r.continueTransfer()
	return nil
}

func (r *Replica) successor() string {
	best := ""
	for _, id := range r.members.voters() {
		p := r.peers[id]
		if r.isActive(p) && (best == "" || p.match > r.peers[best].match) {
			best = id
		}
	}
	return best
}

// continueTransfer asks the successor to stand once it has the whole log.
func (r *Replica) continueTransfer() {
	if !r.transfer.active() || r.transfer.sent {
		return
	}
	p := r.peers[r.transfer.to]
	if p == nil || p.match != r.log.lastIndex() {
		return
	}
	r.transfer.sent = true
	r.send(&wire.QuorumMessage{Kind: wire.QuorumKind_QUORUM_TIMEOUT_NOW, To: r.transfer.to, Term: r.term})
}

func (r *Replica) handleTimeoutNow(m *wire.QuorumMessage) {
	if r.role == Follower && r.leader == m.GetFrom() && r.members.isVoter(r.id) {
		r.candidate(true)
	}
}
