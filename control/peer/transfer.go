package peer

import (
	"context"

	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/world/pause"
)

// transferTimeouts is the number of election timeouts for which a stopping leader
// waits for its successor.
const transferTimeouts = 3

// TransferLeadership transfers the leadership to another voter, if this replica is
// the leader, and waits until it is transferred and the successor has committed the
// pending proposals, or transferTimeouts have elapsed. It reports whether there was a
// successor.
func (n *Node) TransferLeadership(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, transferTimeouts*n.cfg.electionTimeout())
	defer cancel()
	if err := n.call(ctx, func() error { return n.transferTo("") }); err != nil {
		return false
	}
	for (n.view.Load().isLeader || n.hasPending(ctx)) && pause.For(ctx, retryInterval) {
		continue
	}
	n.logger.Info("leadership transferred", "leader", n.view.Load().leaderName)
	return true
}

func (n *Node) hasPending(ctx context.Context) bool {
	pending := false
	err := n.call(ctx, func() error {
		pending = len(n.pending) > 0
		return nil
	})
	return err == nil && pending
}

// call runs a task on the goroutine of Run and waits for its error.
func (n *Node) call(ctx context.Context, task func() error) error {
	done := make(chan error, 1)
	if !n.do(ctx, func() { done <- task() }) {
		return agreement.ErrNoQuorum
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	case <-n.stopped:
	}
	return agreement.ErrUncertain
}
