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
	applied chan struct{}
	aborted chan struct{}
}

// Confirm returns nil once the applied state includes every command that was
// committed before the call. It waits leaderWaitTimeouts election timeouts for a
// leader, and at most confirmTimeouts in all.
func (n *Node) Confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeouts*n.cfg.electionTimeout())
	defer cancel()
	deadline := time.Now().Add(leaderWaitTimeouts * n.cfg.electionTimeout())
	for {
		index, ok := n.readIndex(ctx)
		if ok {
			return n.awaitApplied(ctx, index)
		}
		if n.ended() || time.Now().After(deadline) || !pause.For(ctx, retryInterval) {
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
		return n.readIndexLocally(ctx)
	case v.leaderAddress != "":
		return n.readIndexFrom(ctx, v.leaderAddress)
	}
	return 0, false
}

// readIndexLocally requests a read index from the local replica, which must be the
// leader.
func (n *Node) readIndexLocally(ctx context.Context) (uint64, bool) {
	reply := make(chan quorum.ReadResult, 1)
	queued := n.do(ctx, func() {
		n.nextRead++
		n.reads[n.nextRead] = reply
		n.replica.ReadIndex(n.nextRead)
	})
	if !queued {
		return 0, false
	}
	select {
	case result := <-reply:
		return result.Index(), result.OK()
	case <-ctx.Done():
	case <-n.stopped:
	}
	return 0, false
}

// readIndexFrom requests a read index from the leader at an address.
func (n *Node) readIndexFrom(ctx context.Context, address string) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.electionTimeout())
	defer cancel()
	response, err := n.clients.quorum(address).ReadIndex(ctx, &wire.ReadIndexRequest{})
	if err == nil && response.GetConfirmed() {
		n.leaderMembers.Store(&memberReport{members: response.GetMembers(), receivedAt: time.Now()})
	}
	return response.GetIndex(), err == nil && response.GetConfirmed()
}

func (n *Node) deliverReads(results []quorum.ReadResult) {
	for _, result := range results {
		if reply, ok := n.reads[result.ID()]; ok {
			delete(n.reads, result.ID())
			reply <- result
		}
	}
}

func (n *Node) awaitApplied(ctx context.Context, index uint64) error {
	w := waiter{index: index, applied: make(chan struct{}), aborted: make(chan struct{})}
	queued := n.do(ctx, func() {
		n.waiters = append(n.waiters, w)
		n.wakeWaiters()
	})
	if !queued {
		return agreement.ErrNoQuorum
	}
	select {
	case <-w.applied:
		return nil
	case <-w.aborted:
	case <-ctx.Done():
	case <-n.stopped:
	}
	return agreement.ErrNoQuorum
}

func (n *Node) wakeWaiters() {
	remaining := n.waiters[:0]
	for _, w := range n.waiters {
		if n.applied >= w.index {
			close(w.applied)
			continue
		}
		remaining = append(remaining, w)
	}
	clear(n.waiters[len(remaining):])
	n.waiters = remaining
}
