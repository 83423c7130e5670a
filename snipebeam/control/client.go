// Package control is a client of the control hosts for the operators' commands.
// Any control host can serve a call: if one does not respond or has no quorum,
// the client fails over to the next.
//
// Usage:
//
//	client := control.New([]string{"127.0.0.1:7100"}, http.DefaultClient, control.WithTimeout(10*time.Second))
//	status, err := client.Status(ctx)
package control

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

// Time limits: the default of a call, and the minimum of an attempt at one host.
const (
	defaultTimeout    = 10 * time.Second
	minAttemptTimeout = time.Second
)

type host struct {
	address string
	rules   wire.Rules
	claims  wire.Claims
	group   wire.Group

	evacuations wire.Evacuations
}

// Client calls the control hosts in order until one gives an acceptable
// response.
type Client struct {
	hosts   []host
	timeout time.Duration
}

// Option changes one property of a client.
type Option func(*Client)

// WithTimeout bounds each call, over all the hosts that it tries together.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client of the control hosts at the addresses.
func New(addresses []string, client *http.Client, opts ...Option) *Client {
	c := &Client{timeout: defaultTimeout}
	for _, opt := range opts {
		opt(c)
	}
	for _, address := range addresses {
		url := "http://" + address
		c.hosts = append(c.hosts, host{
			address: address,
			rules:   wire.NewRulesProtobufClient(url, client),
			claims:  wire.NewClaimsProtobufClient(url, client),
			group:   wire.NewGroupProtobufClient(url, client),

			evacuations: wire.NewEvacuationsProtobufClient(url, client),
		})
	}
	return c
}

// attemptTimeout returns the time limit of the attempt at one host: an equal
// part of the timeout, but no less than the minimum.
func (c *Client) attemptTimeout() time.Duration {
	return max(c.timeout/time.Duration(max(len(c.hosts), 1)), minAttemptTimeout)
}

// tryHosts calls the hosts in order until one gives an acceptable response. If
// none does, it returns the first response, or a CallError if there is none.
func tryHosts[T any](ctx context.Context, c *Client, accept func(T) bool, call func(context.Context, host) (T, error)) (T, error) {
	var first T
	responded := false
	callErr := &CallError{}
	for _, h := range c.hosts {
		response, err := callHost(ctx, c.attemptTimeout(), h, call)
		if err == nil && accept(response) {
			return response, nil
		}
		if err == nil && !responded {
			first, responded = response, true
		}
		if err != nil {
			callErr.add(h.address, err)
		}
		if permanent(err) || ctx.Err() != nil {
			break
		}
	}
	if responded {
		return first, nil
	}
	return first, callErr
}

func callHost[T any](ctx context.Context, limit time.Duration, h host, call func(context.Context, host) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return call(ctx, h)
}

func acceptAny[T any](T) bool { return true }

// permanent reports whether every other host would return the same error.
func permanent(err error) bool {
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == twirp.InvalidArgument
}

// Refused reports whether a control host refused a call because of its current
// state (code failed precondition).
func Refused(err error) bool {
	var callErr *CallError
	if !errors.As(err, &callErr) {
		return false
	}
	for _, hostErr := range callErr.errs {
		var t twirp.Error
		if errors.As(hostErr, &t) && t.Code() == twirp.FailedPrecondition {
			return true
		}
	}
	return false
}

// CallError is the error of a call that got no response from any control host.
type CallError struct {
	hosts []string
	errs  []error
}

func (e *CallError) add(address string, err error) {
	e.hosts = append(e.hosts, address)
	e.errs = append(e.errs, err)
}

// Error lists the error of each host, followed by a hint what to do next.
func (e *CallError) Error() string {
	if len(e.errs) == 0 {
		return "no control host is named (use --control or SNIPEBEAM_CONTROL)"
	}
	parts := make([]string, 0, len(e.errs))
	for n, err := range e.errs {
		parts = append(parts, e.hosts[n]+": "+strings.TrimPrefix(err.Error(), "twirp error "))
	}
	return strings.Join(parts, "; ") + e.hint()
}

func (e *CallError) hint() string {
	var t twirp.Error
	if !errors.As(e.errs[len(e.errs)-1], &t) {
		return " (name other control hosts with --control)"
	}
	switch t.Code() {
	case twirp.Unauthenticated, twirp.PermissionDenied:
		return " (give the operators' key with --key-file)"
	case twirp.InvalidArgument, twirp.NotFound, twirp.FailedPrecondition:
		return ""
	case twirp.BadRoute, twirp.Unimplemented:
		return " (is that the peers listener of a control host, of this release?)"
	case twirp.Unavailable:
		return " (see which control hosts can be reached with \"snipebeam status\")"
	default:
		return " (does a control host run there? name others with --control)"
	}
}

// Unwrap returns the errors of the hosts.
func (e *CallError) Unwrap() []error { return e.errs }

// OutcomeUnknown reports whether the call may have been carried out although no
// host responded.
func (e *CallError) OutcomeUnknown() bool {
	for _, err := range e.errs {
		if !permanent(err) {
			return true
		}
	}
	return false
}
