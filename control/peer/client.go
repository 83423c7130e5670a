package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	peerlink "github.com/snipebeam/snipebeam/world/link"
	"github.com/snipebeam/snipebeam/world/wire"
)

// forwardTimeout bounds a request that a follower forwards to the leader, and so
// the cost of a half-open connection.
const forwardTimeout = 2 * time.Second

// clientPool caches HTTP clients by address.
type clientPool struct {
	wrap    func(http.RoundTripper) *http.Client
	mu      sync.Mutex
	clients map[string]*http.Client
}

func (p *clientPool) http(address string) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients == nil {
		p.clients = map[string]*http.Client{}
	}
	c, ok := p.clients[address]
	if !ok {
		c = p.wrap(peerlink.Bounded(newCallTransport(), maxResponseBytes))
		p.clients[address] = c
	}
	return c
}

// newCallTransport returns a transport on which the kernel gives up what the peer does not
// acknowledge. A call that ended would otherwise still be delivered when a partition heals, and
// a forwarded command then be proposed long after its sender gave it up.
func newCallTransport() *http.Transport {
	transport := newTransport(forwardTimeout)
	dialer := peerlink.Dialer(peerlink.MessageTimeouts)
	dialer.Timeout = forwardTimeout
	transport.DialContext = dialer.DialContext
	return transport
}

func (p *clientPool) quorum(address string) wire.Quorum {
	return wire.NewQuorumProtobufClient("http://"+address, p.http(address))
}

func (p *clientPool) group(address string) wire.Group {
	return wire.NewGroupProtobufClient("http://"+address, p.http(address))
}

// forward forwards a command to the leader and returns its result.
func (n *Node) forward(ctx context.Context, address string, cmd *wire.Command) (*wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	response, err := n.clients.quorum(address).Forward(ctx, &wire.ForwardRequest{Command: cmd})
	switch {
	case err != nil && dialFailed(err):
		return nil, errNotLeader
	case err != nil:
		return nil, errors.Wrap(errUncertain, err.Error())
	case response.GetOutcome() == wire.ForwardOutcome_FORWARD_DONE:
		return response.GetResult(), nil
	case response.GetOutcome() == wire.ForwardOutcome_FORWARD_NOT_TAKEN:
		return nil, errNotLeader
	}
	return nil, errUncertain
}

// dialFailed reports whether no connection was established, so that the request
// cannot have been received.
func dialFailed(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
