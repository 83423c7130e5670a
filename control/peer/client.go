package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
)

// forwardLimit is how long a follower waits for the leader's answer; a
// connection that went silent costs no more.
const forwardLimit = 2 * time.Second

// clientPool holds the clients for requests to the leader.
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
		c = p.wrap(newTransport(forwardLimit))
		p.clients[address] = c
	}
	return c
}

func (p *clientPool) quorum(address string) wire.Quorum {
	return wire.NewQuorumProtobufClient("http://"+address, p.http(address))
}

func (p *clientPool) group(address string) wire.Group {
	return wire.NewGroupProtobufClient("http://"+address, p.http(address))
}

// forward proposes a command at the leader.
func (n *Node) forward(ctx context.Context, address string, cmd *wire.Command) (*wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardLimit)
	defer cancel()
	response, err := n.clients.quorum(address).Forward(ctx, &wire.ForwardRequest{Command: cmd})
	switch {
	case err != nil && neverSent(err):
		return nil, errNotTaken
	case err != nil:
		return nil, errors.Wrap(errUncertain, err.Error())
	case response.GetOutcome() == wire.ForwardOutcome_FORWARD_DONE:
		return response.GetResult(), nil
	case response.GetOutcome() == wire.ForwardOutcome_FORWARD_NOT_TAKEN:
		return nil, errNotTaken
	}
	return nil, errUncertain
}

// neverSent reports whether no connection was made at all.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
