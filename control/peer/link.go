package peer

import (
	"context"
	"maps"
	"net"
	"net/http"
	"time"

	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Bounds of a link.
const (
	linkQueue         = 4096
	maxStepMessages   = 256
	maxStepBytes      = 512 << 10
	snapshotSendLimit = 30 * time.Second
	idleLimit         = 30 * time.Second
	snapshotReads     = 3
)

// link sends messages to one other replica, one request at a time. A request
// that is not answered within the step limit gives its connection up, so that
// a connection that went silent is noticed and replaced.
type link struct {
	node      *Node
	address   string
	queue     chan *wire.QuorumMessage
	transport *http.Transport
	client    wire.Quorum
	cancel    context.CancelFunc
	snapshots chan *wire.QuorumMessage
}

func (n *Node) newLink(address string) *link {
	ctx, cancel := context.WithCancel(n.linkCtx)
	transport := newTransport(n.cfg.electionTime())
	l := &link{
		node: n, address: address, cancel: cancel, transport: transport,
		queue:     make(chan *wire.QuorumMessage, linkQueue),
		snapshots: make(chan *wire.QuorumMessage, 1),
		client:    wire.NewQuorumProtobufClient("http://"+address, n.cfg.Client(transport)),
	}
	go l.run(ctx)
	go l.runSnapshots(ctx)
	return l
}

func newTransport(dialLimit time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialLimit}).DialContext,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: idleLimit,
	}
}

// push queues a message; a full queue drops it, as a network may.
func (l *link) push(m *wire.QuorumMessage) {
	queue := l.queue
	if m.GetKind() == wire.QuorumKind_QUORUM_SNAPSHOT {
		queue = l.snapshots
	}
	select {
	case queue <- m:
	default:
	}
}

func (l *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.queue:
			l.step(ctx, l.gather(m), l.node.cfg.electionTime())
		}
	}
}

func (l *link) gather(first *wire.QuorumMessage) []*wire.QuorumMessage {
	messages := []*wire.QuorumMessage{first}
	size := proto.Size(first)
	for len(messages) < maxStepMessages && size < maxStepBytes {
		select {
		case m := <-l.queue:
			messages = append(messages, m)
			size += proto.Size(m)
		default:
			return messages
		}
	}
	return messages
}

func (l *link) step(ctx context.Context, messages []*wire.QuorumMessage, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	own := l.node.store.Identity()
	req := &wire.StepRequest{
		Group: own.GetGroup(), Messages: messages, From: own.GetIdentity(), FromAddress: l.node.view.Load().address,
	}
	if _, err := l.client.Step(ctx, req); err != nil {
		l.transport.CloseIdleConnections()
		l.node.logger.Debug("a control host does not answer", "address", l.address, "error", err)
	}
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

// sendSnapshot attaches the newest snapshot, which may be newer than the one
// the replica knew of.
func (l *link) sendSnapshot(ctx context.Context, m *wire.QuorumMessage) {
	snapshot, err := l.newestSnapshot(ctx)
	if err != nil || snapshot == nil {
		l.node.logger.Error("there is no snapshot to send", "error", err)
		return
	}
	m.Snapshot = snapshot
	l.node.logger.Info("snapshot sent", "address", l.address, "index", snapshot.GetIndex(), "bytes", len(snapshot.GetState()))
	l.step(ctx, []*wire.QuorumMessage{m}, snapshotSendLimit)
}

// newestSnapshot reads the newest snapshot. A newer one may replace the file
// while it is read.
func (l *link) newestSnapshot(ctx context.Context) (*wire.LogSnapshot, error) {
	var snapshot *wire.LogSnapshot
	var err error
	for range snapshotReads {
		if snapshot, err = l.node.store.Snapshot(); err == nil {
			return snapshot, nil
		}
		pause.For(ctx, retryPause)
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

// maxStrangers bounds the senders that are not in the membership known here.
const maxStrangers = 16

// meet remembers the address of a sender: a replica that does not know the
// membership yet must answer all the same.
func (n *Node) meet(id, address string) {
	if address == "" || len(n.strangers) >= maxStrangers || n.strangers[id] == address {
		return
	}
	for _, m := range n.replica.Members() {
		if m.GetIdentity() == id {
			return
		}
	}
	n.strangers[id] = address
	n.syncLinks()
}

// syncLinks makes the links fit the membership.
func (n *Node) syncLinks() {
	wanted := maps.Clone(n.strangers)
	for _, m := range n.replica.Members() {
		if m.GetIdentity() != n.replica.ID() {
			wanted[m.GetIdentity()] = m.GetAddress()
			delete(n.strangers, m.GetIdentity())
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
			n.links[id] = n.newLink(address)
		}
	}
}
