package peer

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

var (
	errNotLeader = agreement.ErrNotLeader
	errUncertain = agreement.ErrUncertain
)

// proposal is a proposed entry that waits to be applied.
type proposal struct {
	term   uint64
	result *wire.Result
	err    error
	done   chan struct{}
}

func (p *proposal) finish(result *wire.Result, err error) {
	p.result, p.err = result, err
	close(p.done)
}

// Propose returns the result of a command once it is committed and applied. It
// waits leaderWaitTimeouts election timeouts for a leader.
func (n *Node) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	deadline := time.Now().Add(leaderWaitTimeouts * n.cfg.electionTimeout())
	for {
		result, err := n.proposeOnce(ctx, cmd, data)
		if err == nil || errors.Is(err, errUncertain) {
			return result, err
		}
		if n.ended() || time.Now().After(deadline) || !pause.For(ctx, retryInterval) {
			return nil, err
		}
	}
}

func (n *Node) proposeOnce(ctx context.Context, cmd *wire.Command, data []byte) (*wire.Result, error) {
	v := n.view.Load()
	switch {
	case n.failure() != nil:
		return nil, errors.Wrap(agreement.ErrNoQuorum, "storage of this control host failed")
	case v.isLeader:
		return n.proposeLocally(ctx, data)
	case v.leaderAddress != "":
		return n.forward(ctx, v.leaderAddress, cmd)
	}
	return nil, agreement.ErrNoQuorum
}

// proposeLocally proposes to the local replica, which must be the leader.
func (n *Node) proposeLocally(ctx context.Context, data []byte) (*wire.Result, error) {
	return n.await(ctx, func() (uint64, uint64, error) { return n.replica.Propose(n.stamp(data)) })
}

// commandClock is the field number of Command.clock.
const commandClock = 8

// stamp appends the group clock to an encoded command.
func (n *Node) stamp(data []byte) []byte {
	data = protowire.AppendTag(slices.Clip(data), commandClock, protowire.VarintType)
	return protowire.AppendVarint(data, uint64(n.groupClock()))
}

func (n *Node) groupClock() int64 { return n.clockBase + int64(time.Since(n.clockSince)) }

// followClock sets the group clock to that of the applied state if the latter is ahead.
func (n *Node) followClock() {
	if clock := n.machine.Clock(); clock > n.groupClock() {
		n.clockBase, n.clockSince = clock, time.Now()
	}
}

// await runs a proposal on the goroutine of Run and waits for its result.
func (n *Node) await(ctx context.Context, propose func() (index, term uint64, err error)) (*wire.Result, error) {
	p := &proposal{done: make(chan struct{})}
	queued := n.do(ctx, func() {
		if ctx.Err() != nil {
			p.finish(nil, errNotLeader)
			return
		}
		index, term, err := propose()
		if err != nil {
			p.finish(nil, proposeError(err))
			return
		}
		p.term = term
		if overwritten := n.pending[index]; overwritten != nil {
			overwritten.finish(nil, errUncertain) // another host may still have its entry
		}
		n.pending[index] = p
	})
	if !queued {
		return nil, errNotLeader
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return nil, errUncertain
	case <-n.stopped:
	}
	select {
	case <-p.done:
		return p.result, p.err
	default:
		return nil, errNotLeader // Run ended before it took the task
	}
}

func proposeError(err error) error {
	if errors.Is(err, quorum.ErrNotLeader) {
		return errNotLeader
	}
	return err
}

// completeProposal completes the proposal pending at the index of an entry. If the
// entry has another term, the proposal was overwritten by another leader.
func (n *Node) completeProposal(e *wire.LogEntry, result *wire.Result) {
	p, ok := n.pending[e.GetIndex()]
	if !ok {
		return
	}
	delete(n.pending, e.GetIndex())
	if p.term != e.GetTerm() {
		p.finish(nil, errNotLeader)
		return
	}
	p.finish(result, nil)
}

func (n *Node) failPending(err error) {
	for index, p := range n.pending {
		delete(n.pending, index)
		p.finish(nil, err)
	}
}

// abortWaiting aborts all pending proposals, reads and waiters.
func (n *Node) abortWaiting() {
	n.failPending(errUncertain)
	for id, reply := range n.reads {
		delete(n.reads, id)
		reply <- quorum.ReadResult{}
	}
	for _, w := range n.waiters {
		close(w.aborted)
	}
	n.waiters = nil
}
