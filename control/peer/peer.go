// Package peer speaks to the other control hosts. A Node drives one replica:
// it gives ticks and messages to the step function, makes its writes durable,
// sends its messages over Twirp and applies committed commands to the machine.
// It implements agreement.Log: any control host can be asked; a follower
// forwards to the leader.
//
// One goroutine owns the replica. Proposals that arrive while it writes are
// taken together afterwards, so that one sync covers them all.
//
// Usage:
//
//	node, err := peer.New(peer.Config{Name: "control-1", ...}, store, saved, machine)
//	mux.Handle(wire.QuorumPathPrefix, wire.NewQuorumServer(node.Service()))
//	go node.Run(ctx)
//	defer node.Stop(ctx)
package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/disk"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Host is a control host of the first membership.
type Host struct {
	Name    string
	Address string
}

// Config says who a node is and how it keeps time.
type Config struct {
	Name           string
	Address        string          // of this host's peers listener, for others
	InitialHosts   []Host          // first membership; its first host forms the group
	Seeds          func() []string // addresses at which a replica asks to be taken in, as set now; nil: it waits to be added
	Voters         int             // that the leader keeps without an operator, 0 to leave the membership as it is
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	Client         func(http.RoundTripper) *http.Client // adds keys
	// OperatorClient makes the clients for operators' requests that are passed
	// on to the leader; Client is used if it is nil.
	OperatorClient func(http.RoundTripper) *http.Client
	Logger         hclog.Logger
}

func (c Config) electionTime() time.Duration { return c.Tick * time.Duration(c.ElectionTicks) }

// Bounds of the driver.
const (
	workQueue    = 4096
	maxDrain     = 2048
	keptBytes    = 2 << 20 // of entries kept in memory behind a snapshot
	minSnapshot  = 4 << 20
	maxSnapshot  = 16 << 20
	leaderWait   = 3 // election times that a proposal waits for a leader
	retryPause   = 10 * time.Millisecond
	proposeLimit = 5 * time.Second
)

// Node is one control host's part of the group.
type Node struct {
	cfg     Config
	store   *disk.Store
	machine *state.Machine
	logger  hclog.Logger

	work    chan func()
	stopped chan struct{}
	joinMu  sync.Mutex
	view    atomic.Pointer[view]
	told    atomic.Pointer[toldMembers]
	fault   atomic.Pointer[error]

	// The rest belongs to the goroutine of Run.
	replica   *quorum.Replica
	applied   uint64
	pending   map[uint64]*proposal
	reads     map[uint64]chan quorum.ReadResult
	nextRead  uint64
	waiters   []waiter
	links     map[string]*link
	strangers map[string]string // addresses of senders outside the known membership
	linkCtx   context.Context
	snapshots snapshotter
	steward   steward

	// The group's clock as this leader advances it.
	clockBase  int64
	clockSince time.Time

	clients clientPool
	// operators holds the clients for operators' requests that are passed on.
	operators clientPool
}

// New returns a node on a store that was opened or created.
func New(cfg Config, store *disk.Store, saved quorum.PersistentState, machine *state.Machine) (*Node, error) {
	if cfg.Client == nil {
		cfg.Client = func(t http.RoundTripper) *http.Client { return &http.Client{Transport: t} }
	}
	if cfg.Seeds == nil {
		cfg.Seeds = func() []string { return nil }
	}
	if cfg.OperatorClient == nil {
		cfg.OperatorClient = cfg.Client
	}
	n := &Node{
		cfg: cfg, store: store, machine: machine, logger: cfg.Logger.Named("quorum"),
		work: make(chan func(), workQueue), stopped: make(chan struct{}),
		pending: map[uint64]*proposal{}, reads: map[uint64]chan quorum.ReadResult{}, links: map[string]*link{}, strangers: map[string]string{},
		steward: newSteward(cfg.Voters),
		clients: clientPool{wrap: cfg.Client}, operators: clientPool{wrap: cfg.OperatorClient},
	}
	if saved.Snapshot != nil && len(saved.Snapshot.GetState()) > 0 {
		if err := machine.Restore(saved.Snapshot.GetState()); err != nil {
			return nil, errors.Wrap(err, "restore the state")
		}
		n.snapshots.lastBytes = len(saved.Snapshot.GetState())
		saved.Snapshot = withoutState(saved.Snapshot)
	}
	n.start(saved)
	n.view.Store(&view{})
	n.clockSince = time.Now()
	return n, nil
}

func (n *Node) start(saved quorum.PersistentState) {
	id := n.store.Identity().GetIdentity()
	n.replica = quorum.New(id, saved,
		quorum.WithElectionTicks(n.cfg.ElectionTicks), quorum.WithHeartbeatTicks(n.cfg.HeartbeatTicks),
		quorum.WithSeed(seedOf(id)))
	n.applied = n.replica.AppliedIndex()
	if saved.Vote != nil {
		// A group that starts again after a loss of power need not wait a whole
		// election time; one that has a leader refuses the candidate.
		for range n.cfg.ElectionTicks * firstElectionShare / 100 {
			n.replica.Tick()
		}
	}
}

// firstElectionShare is the percentage of the election time that counts as
// waited when a replica starts with a log.
const firstElectionShare = 75

func withoutState(s *wire.LogSnapshot) *wire.LogSnapshot {
	return &wire.LogSnapshot{Index: s.GetIndex(), Term: s.GetTerm(), Members: s.GetMembers()}
}

// Run drives the replica until the context ends or the disk fails.
func (n *Node) Run(ctx context.Context) {
	defer close(n.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.linkCtx = ctx
	if n.cfg.Voters > 0 {
		go n.keepMembership(ctx)
		go n.joinGroup(ctx)
	}
	if err := n.form(ctx); err != nil {
		n.halt(err)
	}
	ticker := time.NewTicker(n.cfg.Tick)
	defer ticker.Stop()
	for n.failure() == nil {
		select {
		case <-ctx.Done():
			n.abandon()
			return
		case <-ticker.C:
			n.replica.Tick()
			n.publish()
		case task := <-n.work:
			task()
			n.drain()
		}
		n.flush()
	}
	n.abandon()
	n.publish()
}

func (n *Node) drain() {
	for range maxDrain {
		select {
		case task := <-n.work:
			task()
		default:
			return
		}
	}
}

// do runs a task on the node's goroutine. It reports whether the task was
// handed over.
func (n *Node) do(ctx context.Context, task func()) bool {
	select {
	case <-n.stopped:
		return false
	case <-ctx.Done():
		return false
	case n.work <- task:
		return true
	}
}

// flush carries out what the replica wants done until nothing is left.
func (n *Node) flush() {
	for {
		out := n.replica.Take()
		if out.Empty() {
			break
		}
		n.send(out.EarlyMessages())
		if err := n.write(&out); err != nil {
			n.halt(err)
			return
		}
		n.replica.Persisted()
		n.send(out.Messages())
		n.apply(&out)
		n.answerReads(out.Reads())
	}
	n.noteLeader()
	n.snapshotIfDue()
}

func (n *Node) write(out *quorum.Output) error {
	if !out.NeedsWrite() {
		return nil
	}
	if s := out.Snapshot(); s != nil {
		if err := n.store.Write(out.Vote(), nil); err != nil {
			return err
		}
		if err := n.store.Install(s); err != nil {
			return err
		}
		return n.store.Write(nil, out.Entries())
	}
	return n.store.Write(out.Vote(), out.Entries())
}

// halt stops the node for good: after a failed write or sync nothing that this
// host says could be relied on.
func (n *Node) halt(err error) {
	n.fault.CompareAndSwap(nil, &err)
	n.logger.Error("this control host takes no part any more, its disk failed", "error", err)
}

// failure returns what stopped the node, or nil.
func (n *Node) failure() error {
	if err := n.fault.Load(); err != nil {
		return *err
	}
	return nil
}

func (n *Node) apply(out *quorum.Output) {
	if s := out.Snapshot(); s != nil {
		n.installed(s)
	}
	for _, e := range out.Committed() {
		n.applyEntry(e)
	}
	n.wakeWaiters()
}

func (n *Node) installed(s *wire.LogSnapshot) {
	if err := n.machine.Restore(s.GetState()); err != nil {
		n.halt(errors.Wrap(err, "restore a snapshot of the leader"))
		return
	}
	n.logger.Info("snapshot installed", "index", s.GetIndex(), "bytes", len(s.GetState()))
	n.applied = s.GetIndex()
	n.snapshots.lastBytes, n.snapshots.logBytes = len(s.GetState()), 0
	n.failPending(errUncertain)
	n.syncLinks()
}

func (n *Node) applyEntry(e *wire.LogEntry) {
	var result *wire.Result
	switch e.GetKind() {
	case wire.EntryKind_ENTRY_COMMAND:
		cmd := &wire.Command{}
		if err := proto.Unmarshal(e.GetData(), cmd); err != nil {
			n.logger.Error("a committed entry is no command", "index", e.GetIndex(), "error", err)
		}
		result = n.machine.Apply(cmd)
	case wire.EntryKind_ENTRY_MEMBERS:
		n.logger.Info("membership committed", "index", e.GetIndex(), "members", describe(e.GetMembers().GetMembers()))
		n.syncLinks()
		n.publish()
	}
	n.applied = e.GetIndex()
	n.snapshots.logBytes += len(e.GetData()) + entryOverhead
	n.resolve(e, result)
}
