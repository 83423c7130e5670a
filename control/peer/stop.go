package peer

import (
	"context"

	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/world/pause"
)

// handOverTimes is how many election times a stopping leader waits for its
// successor.
const handOverTimes = 3

// TransferLeadership gives the leadership to another voter, if this host has it, and
// waits until it is gone or the time for it is over.
func (n *Node) TransferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimes*n.cfg.electionTime())
	defer cancel()
	if err := n.call(ctx, func() error { return n.replica.Transfer("") }); err != nil {
		return
	}
	for n.view.Load().isLeader && pause.For(ctx, retryPause) {
		continue
	}
	n.logger.Info("leadership handed over", "leader", n.view.Load().leaderName)
}

// call runs a task on the node's goroutine and waits for its error.
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
