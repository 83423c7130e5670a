// Package control speaks to the control hosts: it watches for new versions of
// the rules, reports this host's state, and claims requests that must run at
// most once.
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

// Client calls the control hosts in turn until one answers.
type Client struct {
	hosts []peer
	next  atomic.Uint32 // host that answered last
}

type peer struct {
	claims wire.Claims
}

// NewClient returns a client of the control hosts at the addresses.
func NewClient(addresses []string, client *http.Client) *Client {
	c := &Client{}
	for _, address := range addresses {
		url := "http://" + address
		c.hosts = append(c.hosts, peer{
			claims: wire.NewClaimsProtobufClient(url, client),
		})
	}
	return c
}

// hostLimit bounds the wait for one control host, so that a silent one leaves
// time for the others.
const hostLimit = 600 * time.Millisecond

// try calls the hosts in turn, the one that answered last first. A call may
// reach several hosts; claims carry an id that makes them one.
func try[T any](ctx context.Context, c *Client, call func(ctx context.Context, p peer) (T, error)) (T, error) {
	var zero T
	if len(c.hosts) == 0 {
		return zero, errors.New("no control host is set")
	}
	start := c.next.Load()
	var last error
	for n := range uint32(len(c.hosts)) {
		at := (start + n) % uint32(len(c.hosts))
		response, err := tryOne(ctx, c.hosts[at], call)
		if err == nil {
			c.next.Store(at)
			return response, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return zero, errors.Wrap(last, "call control hosts")
}

func tryOne[T any](ctx context.Context, p peer, call func(ctx context.Context, p peer) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, hostLimit)
	defer cancel()
	return call(ctx, p)
}

// Claim claims a key.
func (c *Client) Claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return try(ctx, c, func(ctx context.Context, p peer) (*wire.ClaimResponse, error) { return p.claims.Claim(ctx, req) })
}

// Complete stores the answer of a claimed request.
func (c *Client) Complete(ctx context.Context, req *wire.CompleteRequest) (*wire.CompleteResponse, error) {
	return try(ctx, c, func(ctx context.Context, p peer) (*wire.CompleteResponse, error) { return p.claims.Complete(ctx, req) })
}

// Release gives up a claim that was never dispatched.
func (c *Client) Release(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	return try(ctx, c, func(ctx context.Context, p peer) (*wire.ReleaseResponse, error) { return p.claims.Release(ctx, req) })
}
