package quorum

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
)

// ErrNoSuccessor means that no other voter can take over the leadership.
var ErrNoSuccessor = errors.New("no other voter can take over the leadership")

// transfer is a leadership transfer in progress.
type transfer struct {
	to        string
	requested bool
}

func (t *transfer) active() bool { return t.to != "" }

func (t *transfer) clear() { *t = transfer{} }

// Transfer starts a leadership transfer to a voter. An empty identity selects the
// active voter with the most recent log. Proposals are rejected until the transfer
// completes or is aborted after an election timeout.
func (r *Replica) Transfer(to string) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if to == "" {
		to = r.transferTarget()
	}
	if to == r.id || r.peers[to] == nil || !r.members.isVoter(to) {
		return ErrNoSuccessor
	}
	r.transfer = transfer{to: to}
	r.elapsed = 0
	r.continueTransfer()
	return nil
}

func (r *Replica) transferTarget() string {
	best := ""
	for _, id := range r.members.voters() {
		p := r.peers[id]
		if r.isActive(p) && (best == "" || p.match > r.peers[best].match) {
			best = id
		}
	}
	return best
}

// continueTransfer asks the target to start an election immediately, once its log
// matches the leader's.
func (r *Replica) continueTransfer() {
	if !r.transfer.active() || r.transfer.requested {
		return
	}
	p := r.peers[r.transfer.to]
	if p == nil || p.match != r.log.lastIndex() {
		return
	}
	r.transfer.requested = true
	r.send(&wire.QuorumMessage{Kind: wire.QuorumKind_QUORUM_TIMEOUT_NOW, To: r.transfer.to, Term: r.term})
}

func (r *Replica) handleTimeoutNow(m *wire.QuorumMessage) {
	if r.role == Follower && r.leader == m.GetFrom() && r.members.isVoter(r.id) {
		r.becomeCandidate(true)
	}
}
