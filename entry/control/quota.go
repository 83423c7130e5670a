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

// Quota requests grants from the leader of the control hosts: of requests to instances
// with a rate limit, and of retries.
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

// Grant requests grants for instances with a rate limit.
func (q *Quota) Grant(ctx context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	return askLeader(ctx, q, req, wire.Quota.Grant)
}

// GrantRetries requests retries from the allowance of a service.
func (q *Quota) GrantRetries(ctx context.Context, req *wire.RetryGrantRequest) (*wire.RetryGrantResponse, error) {
	return askLeader(ctx, q, req, wire.Quota.GrantRetries)
}

// organisationTimeout bounds the call to one control host for requests of organisations,
// which may be used for no longer than that if they wait.
const organisationTimeout = 150 * time.Millisecond

// GrantOrganisations requests grants within the limits of organisations. next returns the
// request to each control host that is called, one after another.
func (q *Quota) GrantOrganisations(ctx context.Context, next func() *wire.OrganisationGrantRequest) (*wire.OrganisationGrantResponse, error) {
	return askLeader(ctx, q, next, func(host wire.Quota, ctx context.Context, next func() *wire.OrganisationGrantRequest) (*wire.OrganisationGrantResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, organisationTimeout)
		defer cancel()
		return host.GrantOrganisations(ctx, next())
	})
}

// leaderResponse is a response of a control host that may not be the leader.
type leaderResponse interface {
	GetLeader() bool
	GetLeaderAddress() string
}

// askLeader calls the leader: the last known one first, then the others. It follows those
// that name another one.
func askLeader[Req any, Resp leaderResponse](ctx context.Context, q *Quota, req Req, call func(wire.Quota, context.Context, Req) (Resp, error)) (Resp, error) {
	var none Resp
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
		response, failure := ask(ctx, q, address, req, call)
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
	return none, errors.Wrap(err, "request grants")
}

func ask[Req, Resp any](ctx context.Context, q *Quota, address string, req Req, call func(wire.Quota, context.Context, Req) (Resp, error)) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	return call(wire.NewQuotaProtobufClient("http://"+address, q.client), ctx, req)
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
