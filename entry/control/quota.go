package control

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
)

// grantTimeout bounds the call to one control host for grants, which are worth little
// when they are late.
const grantTimeout = 300 * time.Millisecond

// Quota requests grants for instances with a rate limit from the leader of the control
// hosts.
type Quota struct {
	addresses func() []string
	client    *http.Client

	mu     sync.Mutex
	leader string // address of the last known leader, empty if unknown
}

// NewQuota returns a client of the control hosts whose addresses the function currently
// returns.
func NewQuota(addresses func() []string, client *http.Client) *Quota {
	return &Quota{addresses: addresses, client: client}
}

// Grant requests grants. It asks the last known leader first, then the others, and
// follows those that name another one.
func (q *Quota) Grant(ctx context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	pending := q.addresses()
	if leader := q.knownLeader(); leader != "" {
		pending = append([]string{leader}, pending...)
	}
	err := errors.New("no control host leads")
	var asked []string
	for len(pending) > 0 && ctx.Err() == nil {
		address := pending[0]
		pending = pending[1:]
		if slices.Contains(asked, address) {
			continue
		}
		asked = append(asked, address)
		response, failure := q.ask(ctx, address, req)
		switch {
		case failure != nil:
			err = failure
		case response.GetLeader():
			q.setLeader(address)
			return response, nil
		case response.GetLeaderAddress() != "":
			pending = append([]string{response.GetLeaderAddress()}, pending...)
		}
	}
	q.setLeader("")
	return nil, errors.Wrap(err, "request grants")
}

func (q *Quota) ask(ctx context.Context, address string, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	return wire.NewQuotaProtobufClient("http://"+address, q.client).Grant(ctx, req)
}

func (q *Quota) knownLeader() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.leader
}

func (q *Quota) setLeader(address string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leader = address
}
