package peer

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	peerlink "github.com/snipebeam/snipebeam/world/link"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Limits of a link.
const (
	linkQueueLength     = 4096
	maxStepMessages     = 256
	maxStepBytes        = 512 << 10
	maxResponseBytes    = 16 << 20 // of which rules are the largest
	snapshotSendTimeout = 30 * time.Second
	// slowestBytesPerSecond is the rate below which a request is given up.
	slowestBytesPerSecond = 128 << 10
	idleConnTimeout       = 30 * time.Second
	snapshotReadAttempts  = 3
	// overlapsPerTimeout is how many requests may be in progress at once: the next one is sent
	// that often within the election timeout, even if those before it have no response.
	overlapsPerTimeout = 4
)

// link sends messages to one other replica. Entries, which may be large, and snapshots have
// queues of their own, so that heartbeats and votes do not wait behind them. Requests with
// entries follow each other. Of the others the next one is sent over another connection if the
// last one gets no response, as a lost packet holds up a connection for longer than a heartbeat
// may take. When a request fails, the link closes the idle connections, so that a half-open
// connection, on which requests time out, is replaced.
type link struct {
	node      *Node
	to        string // identity
	address   string
	queue     chan *wire.QuorumMessage
	entries   chan *wire.QuorumMessage
	snapshots chan *wire.QuorumMessage
	inTransit atomic.Int64 // messages with entries that are queued or being sent
	compress  atomic.Bool  // the other host takes compressed messages
	transport *http.Transport
	client    wire.Quorum
	cancel    context.CancelFunc
}

func (n *Node) newLink(to, address string) *link {
	ctx, cancel := context.WithCancel(n.runCtx)
	transport := newTransport(n.cfg.electionTimeout())
	l := &link{
		node: n, to: to, address: address, cancel: cancel, transport: transport,
		queue:     make(chan *wire.QuorumMessage, linkQueueLength),
		entries:   make(chan *wire.QuorumMessage, linkQueueLength),
		snapshots: make(chan *wire.QuorumMessage, 1),
		client:    wire.NewQuorumProtobufClient("http://"+address, n.cfg.Client(peerlink.Bounded(transport, maxResponseBytes))),
	}
	go l.run(ctx)
	go l.runEntries(ctx)
	go l.runSnapshots(ctx)
	return l
}

func newTransport(dialTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: idleConnTimeout,
		MaxResponseHeaderBytes: peerlink.MaxHeaderBytes,
	}
}

// push enqueues a message. A full queue drops it; the replicas tolerate the loss,
// as they do on the network.
func (l *link) push(m *wire.QuorumMessage) {
	queue := l.queue
	switch {
	case m.GetKind() == wire.QuorumKind_QUORUM_SNAPSHOT:
		queue = l.snapshots
	case len(m.GetEntries()) > 0:
		queue = l.entries
		l.inTransit.Add(1)
	}
	select {
	case queue <- m:
	default:
		if queue == l.entries {
			l.inTransit.Add(-1)
		}
	}
}

func (l *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.queue:
			l.stepOverlapping(ctx, collectBatch(l.queue, m))
		}
	}
}

// runEntries sends entries. If a request fails, those behind it are dropped, as they follow it in
// the log, and the replica sends all of them again.
func (l *link) runEntries(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.entries:
			batch := collectBatch(l.entries, m)
			err := l.step(ctx, batch, l.node.cfg.electionTimeout())
			if err != nil {
				batch = append(batch, l.dropEntries()...)
			}
			l.inTransit.Add(-int64(len(batch)))
			if err != nil {
				l.node.do(ctx, func() { l.node.replica.EntriesLost(l.to) })
			}
		}
	}
}

func sizeOf(messages []*wire.QuorumMessage) int {
	size := 0
	for _, m := range messages {
		size += proto.Size(m)
	}
	return size
}

func (l *link) dropEntries() []*wire.QuorumMessage {
	var dropped []*wire.QuorumMessage
	for {
		select {
		case m := <-l.entries:
			dropped = append(dropped, m)
		default:
			return dropped
		}
	}
}

// stepOverlapping returns when the request has a response or the next one may be sent.
func (l *link) stepOverlapping(ctx context.Context, messages []*wire.QuorumMessage) {
	timeout := l.node.cfg.electionTimeout()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.step(ctx, messages, timeout)
	}()
	timer := time.NewTimer(timeout / overlapsPerTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func collectBatch(queue <-chan *wire.QuorumMessage, first *wire.QuorumMessage) []*wire.QuorumMessage {
	messages := []*wire.QuorumMessage{first}
	size := proto.Size(first)
	for len(messages) < maxStepMessages && size < maxStepBytes {
		select {
		case m := <-queue:
			messages = append(messages, m)
			size += proto.Size(m)
		default:
			return messages
		}
	}
	return messages
}

// step sends messages in one request. Its time limit grows with its size.
func (l *link) step(ctx context.Context, messages []*wire.QuorumMessage, timeout time.Duration) error {
	self := l.node.store.Identity()
	v := l.node.view.Load()
	req := &wire.StepRequest{
		Group: self.GetGroup(), Messages: messages, From: self.GetIdentity(), FromAddress: v.address, Unreachable: v.unreachable,
	}
	if l.compress.Load() && sizeOf(messages) >= minCompressedBytes {
		if err := compress(req); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+time.Duration(proto.Size(req))*time.Second/slowestBytesPerSecond)
	defer cancel()
	response, err := l.client.Step(ctx, req)
	l.compress.Store(response.GetTakesCompressed() || err != nil && l.compress.Load())
	if err != nil {
		l.transport.CloseIdleConnections()
		l.node.logger.Debug("control host did not respond", "address", l.address, "error", err)
	}
	return err
}

func (l *link) runSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.snapshots:
			l.sendSnapshot(ctx, m)
		}
	}
}

// sendSnapshot attaches the latest snapshot to a message and sends it. It may be
// newer than the one for which the replica created the message.
func (l *link) sendSnapshot(ctx context.Context, m *wire.QuorumMessage) {
	snapshot, err := l.newestSnapshot(ctx)
	if err != nil || snapshot == nil {
		l.node.logger.Error("no snapshot available to send", "error", err)
		return
	}
	m.Snapshot = snapshot
	l.node.logger.Info("snapshot sent", "address", l.address, "index", snapshot.GetIndex(), "bytes", len(snapshot.GetState()))
	if err := l.step(ctx, []*wire.QuorumMessage{m}, snapshotSendTimeout); err != nil {
		l.node.logger.Info("snapshot not delivered", "address", l.address, "index", snapshot.GetIndex(), "error", err)
		l.node.do(ctx, func() { l.node.replica.SnapshotLost(l.to) })
	}
}

// newestSnapshot reads the latest snapshot. It retries because a newer one may
// replace the file during the read.
func (l *link) newestSnapshot(ctx context.Context) (*wire.LogSnapshot, error) {
	var snapshot *wire.LogSnapshot
	var err error
	for range snapshotReadAttempts {
		if snapshot, err = l.node.store.Snapshot(); err == nil {
			return snapshot, nil
		}
		pause.For(ctx, retryInterval)
	}
	return nil, err
}

func (l *link) close() {
	l.cancel()
	l.transport.CloseIdleConnections()
}

func (n *Node) send(messages []*wire.QuorumMessage) {
	for _, m := range messages {
		if l := n.links[m.GetTo()]; l != nil {
			l.push(m)
			continue
		}
		n.syncLinks()
		if l := n.links[m.GetTo()]; l != nil {
			l.push(m)
		}
	}
}

// maxUnknownSenders bounds the number of senders outside the local membership.
const maxUnknownSenders = 16

// addUnknownSender records the address of a sender outside the local membership,
// because a replica that has not received the membership yet must still respond.
func (n *Node) addUnknownSender(id, address string) {
	if address == "" || len(n.unknownSenders) >= maxUnknownSenders || n.unknownSenders[id] == address {
		return
	}
	for _, m := range n.replica.Members() {
		if m.GetIdentity() == id {
			return
		}
	}
	n.unknownSenders[id] = address
	n.syncLinks()
}

// syncLinks opens and closes links to match the membership.
func (n *Node) syncLinks() {
	wanted := maps.Clone(n.unknownSenders)
	for _, m := range n.replica.Members() {
		if m.GetIdentity() != n.replica.ID() {
			wanted[m.GetIdentity()] = m.GetAddress()
			delete(n.unknownSenders, m.GetIdentity())
		}
	}
	for id, l := range n.links {
		if wanted[id] != l.address {
			l.close()
			delete(n.links, id)
		}
	}
	for id, address := range wanted {
		if n.links[id] == nil {
			n.links[id] = n.newLink(id, address)
		}
	}
}
