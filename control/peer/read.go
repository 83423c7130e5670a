package peer

import (
	"context"
	"time"

	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

// waiter waits for an index to be applied.
type waiter struct {
	index   uint64
	reached chan struct{}
	gaveUp  chan struct{}
}

// Confirm returns nil once the applied state is at least as new as any command
// that was committed before the call.
func (n *Node) Confirm(ctx context.Context) error {
	giveUp := time.Now().Add(leaderWait * n.cfg.electionTime())
	for {
		index, ok := n.readIndex(ctx)
		if ok {
			return n.awaitApplied(ctx, index)
		}
		if n.failure() != nil || time.Now().After(giveUp) || !pause.For(ctx, retryPause) {
			return agreement.ErrNoQuorum
		}
	}
}

func (n *Node) readIndex(ctx context.Context) (uint64, bool) {
	v := n.view.Load()
	switch {
	case n.failure() != nil:
		return 0, false
	case v.isLeader:
		return n.readHere(ctx)
	case v.leaderAddress != "":
		return n.readAt(ctx, v.leaderAddress)
	}
	return 0, false
}

// readHere asks the own replica, which must lead.
func (n *Node) readHere(ctx context.Context) (uint64, bool) {
	answer := make(chan quorum.ReadResult, 1)
	handed := n.do(ctx, func() {
		n.nextRead++
		n.reads[n.nextRead] = answer
		n.replica.ReadIndex(n.nextRead)
	})
	if !handed {
		return 0, false
	}
	select {
	case result := <-answer:
		return result.Index(), result.OK()
	case <-ctx.Done():
	case <-n.stopped:
	}
	return 0, false
}

// readAt asks the leader at an address.
func (n *Node) readAt(ctx context.Context, address string) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.electionTime())
	defer cancel()
	response, err := n.clients.quorum(address).ReadIndex(ctx, &wire.ReadIndexRequest{})
	if err == nil && response.GetConfirmed() {
		n.told.Store(&toldMembers{members: response.GetMembers(), at: time.Now()})
	}
	return response.GetIndex(), err == nil && response.GetConfirmed()
}

func (n *Node) answerReads(results []quorum.ReadResult) {
	for _, result := range results {
		if answer, ok := n.reads[result.ID()]; ok {
			delete(n.reads, result.ID())
			answer <- result
		}
	}
}

func (n *Node) awaitApplied(ctx context.Context, index uint64) error {
	w := waiter{index: index, reached: make(chan struct{}), gaveUp: make(chan struct{})}
	handed := n.do(ctx, func() {
		n.waiters = append(n.waiters, w)
		n.wakeWaiters()
	})
	if !handed {
		return agreement.ErrNoQuorum
	}
	select {
	case <-w.reached:
		return nil
	case <-w.gaveUp:
	case <-ctx.Done():
	case <-n.stopped:
	}
	return agreement.ErrNoQuorum
}

func (n *Node) wakeWaiters() {
	kept := n.waiters[:0]
	for _, w := range n.waiters {
		if n.applied >= w.index {
			close(w.reached)
			continue
		}
		kept = append(kept, w)
	}
	clear(n.waiters[len(kept):])
	n.waiters = kept
}
