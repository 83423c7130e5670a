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
	errNotTaken  = agreement.ErrNotLeader
	errUncertain = agreement.ErrUncertain
)

// proposal waits for its entry to be applied.
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

// Propose returns the command's result once it is committed and applied. It
// waits some election times for a leader.
func (n *Node) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	giveUp := time.Now().Add(leaderWait * n.cfg.electionTime())
	for {
		result, err := n.proposeOnce(ctx, cmd, data)
		if err == nil || errors.Is(err, errUncertain) {
			return result, err
		}
		if n.failure() != nil || time.Now().After(giveUp) || !pause.For(ctx, retryPause) {
			return nil, err
		}
	}
}

func (n *Node) proposeOnce(ctx context.Context, cmd *wire.Command, data []byte) (*wire.Result, error) {
	v := n.view.Load()
	switch {
	case n.failure() != nil:
		return nil, errors.Wrap(agreement.ErrNoQuorum, "the disk of this control host failed")
	case v.isLeader:
		return n.proposeHere(ctx, data)
	case v.leaderAddress != "":
		return n.forward(ctx, v.leaderAddress, cmd)
	}
	return nil, agreement.ErrNoQuorum
}

// proposeHere proposes at the own replica, which must lead.
func (n *Node) proposeHere(ctx context.Context, data []byte) (*wire.Result, error) {
	return n.await(ctx, func() (uint64, uint64, error) { return n.replica.Propose(n.stamp(data)) })
}

// commandClock is the number of the field clock of a Command.
const commandClock = 8

// stamp adds the group's clock to an encoded command.
func (n *Node) stamp(data []byte) []byte {
	clock := n.clockBase + int64(time.Since(n.clockSince))
	data = protowire.AppendTag(slices.Clip(data), commandClock, protowire.VarintType)
	return protowire.AppendVarint(data, uint64(clock))
}

// await runs a proposal on the node's goroutine and waits for its outcome.
func (n *Node) await(ctx context.Context, propose func() (index, term uint64, err error)) (*wire.Result, error) {
	p := &proposal{done: make(chan struct{})}
	handed := n.do(ctx, func() {
		if ctx.Err() != nil {
			p.finish(nil, errNotTaken)
			return
		}
		index, term, err := propose()
		if err != nil {
			p.finish(nil, proposeError(err))
			return
		}
		p.term = term
		n.pending[index] = p
	})
	if !handed {
		return nil, errNotTaken
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
		return nil, errUncertain
	}
}

func proposeError(err error) error {
	if errors.Is(err, quorum.ErrNotLeader) {
		return errNotTaken
	}
	return err
}

// resolve tells the proposal that waits at an index what became of it.
func (n *Node) resolve(e *wire.LogEntry, result *wire.Result) {
	p, ok := n.pending[e.GetIndex()]
	if !ok {
		return
	}
	delete(n.pending, e.GetIndex())
	if p.term != e.GetTerm() {
		p.finish(nil, errNotTaken)
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

// abandon ends everything that waits on the node's goroutine.
func (n *Node) abandon() {
	n.failPending(errUncertain)
	for id, answer := range n.reads {
		delete(n.reads, id)
		answer <- quorum.ReadResult{}
	}
	for _, w := range n.waiters {
		close(w.gaveUp)
	}
	n.waiters = nil
}
