// Package peer replicates commands between the control hosts. A Node drives one
// replica: it feeds ticks and messages to the consensus state machine, persists its
// writes, sends its messages over Twirp and applies committed commands to the
// replicated state. It implements agreement.Log on every control host; a follower
// forwards to the leader.
//
// A single goroutine owns the replica. Proposals that arrive during a write are
// batched, so that one sync covers them all.
//
// Usage:
//
//	node, err := peer.New(peer.Config{Name: "control-1", ...}, store, saved, machine)
//	mux.Handle(wire.QuorumPathPrefix, wire.NewQuorumServer(node.Service()))
//	go node.Run(ctx)
//	defer node.Leave(ctx)
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

// Host is a control host of the initial membership.
type Host struct {
	Name    string
	Address string
}

// Config holds the identity, membership and timing of a node.
type Config struct {
	Name           string
	Address        string          // of the peers listener, as other hosts reach it
	InitialHosts   []Host          // initial membership, one of which bootstraps the group
	Seeds          func() []string // current addresses to send join requests to; nil: wait to be added
	Voters         int             // number that the leader maintains, 0 to leave the membership to operators
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	Client         func(http.RoundTripper) *http.Client // adds authentication
	// OperatorClient creates the clients that forward operators' requests to the
	// leader. The default is Client.
	OperatorClient func(http.RoundTripper) *http.Client
	Logger         hclog.Logger
}

func (c Config) electionTimeout() time.Duration { return c.Tick * time.Duration(c.ElectionTicks) }

// Limits of a node.
const (
	workQueueLength     = 4096
	maxTaskBatch        = 2048
	retainedLogBytes    = 2 << 20  // of log entries retained in memory after a snapshot
	minSnapshotLogBytes = 4 << 20  // of log entries applied between two snapshots, at least
	maxSnapshotLogBytes = 16 << 20 // and at most
	leaderWaitTimeouts  = 3        // election timeouts that a request waits for a leader
	confirmTimeouts     = 6        // election timeouts that a read waits for its confirmation
	retryInterval       = 10 * time.Millisecond
	proposeTimeout      = 5 * time.Second
)

// Node is the member of the control group on one host.
type Node struct {
	cfg     Config
	store   *disk.Store
	machine *state.Machine
	logger  hclog.Logger

	work          chan func()
	stopped       chan struct{}
	joinMu        sync.Mutex
	view          atomic.Pointer[view]
	leaderMembers atomic.Pointer[memberReport]
	fault         atomic.Pointer[error]

	// The following fields belong to the goroutine of Run.
	replica        *quorum.Replica
	applied        uint64
	pending        map[uint64]*proposal
	reads          map[uint64]chan quorum.ReadResult
	nextRead       uint64
	waiters        []waiter
	links          map[string]*link
	unknownSenders map[string]string // addresses of senders outside the local membership
	runCtx         context.Context
	snapshots      snapshotter
	reconciler     reconciler
	transferAt     time.Time // start of the last transfer of the leadership by this replica

	// The group clock, which goes on from clockBase on every replica, so that it does not
	// stop at an election.
	clockBase  int64
	clockSince time.Time
	leadsSince time.Time // the last time that this host became the leader

	clients clientPool
	// operators holds the clients that forward operators' requests.
	operators clientPool
}

// New returns a node on an open store and restores its state.
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
	cfg.InitialHosts = initialHosts(cfg, store.Identity())
	n := &Node{
		cfg: cfg, store: store, machine: machine, logger: cfg.Logger.Named("quorum"),
		work: make(chan func(), workQueueLength), stopped: make(chan struct{}),
		pending: map[uint64]*proposal{}, reads: map[uint64]chan quorum.ReadResult{}, links: map[string]*link{}, unknownSenders: map[string]string{},
		reconciler: newReconciler(cfg.Voters),
		clients:    clientPool{wrap: cfg.Client}, operators: clientPool{wrap: cfg.OperatorClient},
	}
	if saved.Snapshot != nil && len(saved.Snapshot.GetState()) > 0 {
		if err := machine.Restore(saved.Snapshot.GetState()); err != nil {
			return nil, errors.Wrap(err, "restore state from snapshot")
		}
		n.snapshots.lastBytes = len(saved.Snapshot.GetState())
		saved.Snapshot = withoutState(saved.Snapshot)
	}
	n.start(saved)
	n.view.Store(&view{})
	n.clockBase, n.clockSince = machine.Clock(), time.Now()
	return n, nil
}

func (n *Node) start(saved quorum.PersistentState) {
	id := n.store.Identity().GetIdentity()
	n.replica = quorum.New(id, saved,
		quorum.WithElectionTicks(n.cfg.ElectionTicks), quorum.WithHeartbeatTicks(n.cfg.HeartbeatTicks),
		quorum.WithSeed(randomSeed(id)))
	n.applied = n.replica.AppliedIndex()
	if saved.Vote != nil {
		// After a power loss of all hosts, the group should not wait for a full
		// election timeout. A group with a leader rejects the early candidate.
		for range n.cfg.ElectionTicks * initialElectionPercent / 100 {
			n.replica.Tick()
		}
	}
}

// initialElectionPercent is the percentage of the election timeout that counts as
// elapsed when a replica starts with an existing log.
const initialElectionPercent = 75

func withoutState(s *wire.LogSnapshot) *wire.LogSnapshot {
	if s == nil {
		return nil
	}
	return &wire.LogSnapshot{Index: s.GetIndex(), Term: s.GetTerm(), Members: s.GetMembers()}
}

// Run drives the replica until the context is cancelled or the storage fails.
func (n *Node) Run(ctx context.Context) {
	defer close(n.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.runCtx = ctx
	if n.cfg.Voters > 0 {
		go n.reconcileMembership(ctx)
		go n.joinGroup(ctx)
	}
	go n.formGroup(ctx)
	ticker := time.NewTicker(n.cfg.Tick)
	defer ticker.Stop()
	for n.failure() == nil || n.takePartAgain(ctx) {
		select {
		case <-ctx.Done():
			n.abortWaiting()
			return
		case <-ticker.C:
			for id, l := range n.links {
				if l.inTransit.Load() > 0 {
					n.replica.EntriesInTransit(id)
				}
			}
			n.replica.Tick()
			n.publishLeaderChange()
			n.publish()
		case task := <-n.work:
			task()
			n.runQueued()
		}
		n.flush()
	}
	n.abortWaiting()
	n.publish()
}

func (n *Node) runQueued() {
	for range maxTaskBatch {
		select {
		case task := <-n.work:
			task()
		default:
			return
		}
	}
}

// do enqueues a task for the goroutine of Run. It reports whether the task was
// enqueued.
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

// flush processes the output of the replica until there is none left: it persists
// writes, sends messages, applies committed entries and delivers reads.
func (n *Node) flush() {
	for {
		out := n.replica.Take()
		if out.Empty() {
			break
		}
		n.send(out.EarlyMessages())
		if err := n.write(&out); err != nil {
			n.fail(err)
			return
		}
		n.replica.Persisted()
		n.send(out.Messages())
		n.apply(&out)
		n.deliverReads(out.Reads())
	}
	n.publishLeaderChange()
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
		if err := n.store.InstallSnapshot(s); err != nil {
			return err
		}
		return n.store.Write(nil, out.Entries())
	}
	return n.store.Write(out.Vote(), out.Entries())
}

// fail stops the node: after a failed write or sync, nothing that this host acknowledges
// could be relied on. It is permanent unless the disk was full.
func (n *Node) fail(err error) {
	n.fault.CompareAndSwap(nil, &err)
	n.logger.Error("storage failed, this control host has stopped participating in the control group", "error", err, "untilThereIsRoom", n.store.OutOfSpace())
}

// failure returns the error that stopped the node, or nil.
func (n *Node) failure() error {
	if err := n.fault.Load(); err != nil {
		return *err
	}
	return nil
}

// ended reports whether Run has ended or will end because of a failure, so that a
// retry on this host is pointless.
func (n *Node) ended() bool {
	select {
	case <-n.stopped:
		return true
	default:
		return n.failure() != nil
	}
}

func (n *Node) apply(out *quorum.Output) {
	if s := out.Snapshot(); s != nil {
		n.restoreSnapshot(s)
	}
	for _, e := range out.Committed() {
		n.applyEntry(e)
	}
	n.followClock()
	n.wakeWaiters()
}

func (n *Node) restoreSnapshot(s *wire.LogSnapshot) {
	if err := n.machine.Restore(s.GetState()); err != nil {
		n.fail(errors.Wrap(err, "restore snapshot received from the leader"))
		return
	}
	n.logger.Info("snapshot installed", "index", s.GetIndex(), "bytes", len(s.GetState()))
	n.applied = s.GetIndex()
	n.snapshots.lastBytes, n.snapshots.logBytes = len(s.GetState()), 0
	n.failPending(errUncertain)
	n.syncLinks()
}

func (n *Node) applyEntry(e *wire.LogEntry) {
	if e.GetIndex() <= n.applied { // applied before the disk was full
		return
	}
	var result *wire.Result
	switch e.GetKind() {
	case wire.EntryKind_ENTRY_COMMAND:
		cmd := &wire.Command{}
		if err := proto.Unmarshal(e.GetData(), cmd); err != nil {
			n.logger.Error("committed entry is not a valid command", "index", e.GetIndex(), "error", err)
		}
		result = n.machine.Apply(cmd)
	case wire.EntryKind_ENTRY_MEMBERS:
		n.logger.Info("membership committed", "index", e.GetIndex(), "members", describeMembers(e.GetMembers().GetMembers()))
		n.syncLinks()
		n.publish()
	}
	n.applied = e.GetIndex()
	n.snapshots.logBytes += len(e.GetData()) + entryOverheadBytes
	n.completeProposal(e, result)
}
