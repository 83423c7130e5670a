// Package control is an entry host's client of the control hosts: it watches
// for new versions of the rules, reports this host's state, and claims requests
// that must run at most once.
//
// Usage:
//
//	client := control.NewClient(addresses, httpClient)
//	response, err := client.Claim(ctx, request)
package control

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Claimer claims requests that must run at most once.
type Claimer interface {
	Claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error)
	Complete(ctx context.Context, req *wire.CompleteRequest) (*wire.CompleteResponse, error)
	Release(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error)
}

// Client calls the control hosts one after another until one responds.
type Client struct {
	hosts     []endpoint
	preferred atomic.Uint32 // index of the host to try first
}

type endpoint struct {
	claims wire.Claims
}

// NewClient returns a client of the control hosts at the addresses.
func NewClient(addresses []string, client *http.Client) *Client {
	c := &Client{}
	for _, address := range addresses {
		url := "http://" + address
		c.hosts = append(c.hosts, endpoint{
			claims: wire.NewClaimsProtobufClient(url, client),
		})
	}
	return c
}

// hostTimeout bounds the call to one control host, so that an unresponsive one
// leaves time to try the others.
const hostTimeout = 600 * time.Millisecond

// callHosts tries the hosts one after another, starting with the one that
// responded last, or after the one that failed last: a call may have time for few of
// them. A call may reach several hosts; the id in each claim makes
// repeated calls idempotent.
func callHosts[T any](ctx context.Context, c *Client, call func(ctx context.Context, e endpoint) (T, error)) (T, error) {
	var zero T
	if len(c.hosts) == 0 {
		return zero, errors.New("no control hosts configured")
	}
	start := c.preferred.Load()
	var lastErr error
	for n := range uint32(len(c.hosts)) {
		at := (start + n) % uint32(len(c.hosts))
		response, err := callHost(ctx, c.hosts[at], call)
		if err == nil {
			c.preferred.Store(at)
			return response, nil
		}
		lastErr = err
		c.preferred.CompareAndSwap(at, (at+1)%uint32(len(c.hosts)))
		if ctx.Err() != nil {
			break
		}
	}
	return zero, errors.Wrap(lastErr, "call control hosts")
}

func callHost[T any](ctx context.Context, e endpoint, call func(ctx context.Context, e endpoint) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	return call(ctx, e)
}

// Claim claims a key.
func (c *Client) Claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return callHosts(ctx, c, func(ctx context.Context, e endpoint) (*wire.ClaimResponse, error) { return e.claims.Claim(ctx, req) })
}

// Complete stores the response to a claimed request.
func (c *Client) Complete(ctx context.Context, req *wire.CompleteRequest) (*wire.CompleteResponse, error) {
	return callHosts(ctx, c, func(ctx context.Context, e endpoint) (*wire.CompleteResponse, error) {
		return e.claims.Complete(ctx, req)
	})
}

// Release releases a claim whose request was never dispatched.
func (c *Client) Release(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	return callHosts(ctx, c, func(ctx context.Context, e endpoint) (*wire.ReleaseResponse, error) {
		return e.claims.Release(ctx, req)
	})
}
