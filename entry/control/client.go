// Package control is an entry host's client of the control hosts: it watches
// for new versions of the rules, reports this host's state, and claims requests
// that must run at most once.
//
// Usage:
//
//	client := control.NewClient(watch.Hosts, httpClient)
//	response, err := client.Claim(ctx, request)
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

// Claimer claims requests that must run at most once.
type Claimer interface {
	Claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error)
	Complete(ctx context.Context, req *wire.CompleteRequest) (*wire.CompleteResponse, error)
	Release(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error)
}

// Client calls the control hosts one after another until one responds.
type Client struct {
	addresses func() []string
	client    *http.Client

	mu        sync.Mutex
	hosts     map[string]wire.Claims // by address
	preferred string                 // address to try first
}

// NewClient returns a client of the control hosts whose addresses the function
// currently returns.
func NewClient(addresses func() []string, client *http.Client) *Client {
	return &Client{addresses: addresses, client: client, hosts: map[string]wire.Claims{}}
}

// order returns the addresses to try, the preferred one first.
func (c *Client) order() []string {
	all := c.addresses()
	c.mu.Lock()
	defer c.mu.Unlock()
	start := slices.Index(all, c.preferred)
	if start < 0 {
		start, c.preferred = 0, ""
	}
	return slices.Concat(all[start:], all[:start])
}

func (c *Client) prefer(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = address
}

// avoid makes calls that would start with a host start with the next one.
func (c *Client) avoid(address, next string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferred == address || c.preferred == "" {
		c.preferred = next
	}
}

func (c *Client) host(address string) wire.Claims {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hosts[address] == nil {
		c.hosts[address] = wire.NewClaimsProtobufClient("http://"+address, c.client)
	}
	return c.hosts[address]
}

// hostTimeout bounds the call to one control host, so that an unresponsive one
// leaves time to try the others.
const hostTimeout = 600 * time.Millisecond

// callHosts tries the hosts one after another, starting with the one that
// responded last, or after the one that failed last: a call may have time for few of
// them. A call may reach several hosts; the id in each claim makes
// repeated calls idempotent.
func callHosts[T any](ctx context.Context, c *Client, call func(ctx context.Context, host wire.Claims) (T, error)) (T, error) {
	var zero T
	order := c.order()
	if len(order) == 0 {
		return zero, errors.New("no control hosts configured")
	}
	var lastErr error
	for n, address := range order {
		response, err := callHost(ctx, c.host(address), call)
		if err == nil {
			c.prefer(address)
			return response, nil
		}
		lastErr = err
		c.avoid(address, order[(n+1)%len(order)])
		if ctx.Err() != nil {
			break
		}
	}
	return zero, errors.Wrap(lastErr, "call control hosts")
}

func callHost[T any](ctx context.Context, host wire.Claims, call func(ctx context.Context, host wire.Claims) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	return call(ctx, host)
}

// Claim claims a key.
func (c *Client) Claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return callHosts(ctx, c, func(ctx context.Context, host wire.Claims) (*wire.ClaimResponse, error) { return host.Claim(ctx, req) })
}

// Complete stores the response to a claimed request.
func (c *Client) Complete(ctx context.Context, req *wire.CompleteRequest) (*wire.CompleteResponse, error) {
	return callHosts(ctx, c, func(ctx context.Context, host wire.Claims) (*wire.CompleteResponse, error) {
		return host.Complete(ctx, req)
	})
}

// Release releases a claim whose request was never dispatched.
func (c *Client) Release(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	return callHosts(ctx, c, func(ctx context.Context, host wire.Claims) (*wire.ReleaseResponse, error) {
		return host.Release(ctx, req)
	})
}
