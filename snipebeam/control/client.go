// Package control calls the control hosts on behalf of an operator. Any of
// them may be asked: one that does not answer, or has no quorum, is passed
// over for the next.
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

// Times of calls.
const (
	defaultTimeout  = 10 * time.Second
	shortestAttempt = time.Second
)

type host struct {
	address string
	rules   wire.Rules
	claims  wire.Claims
	group   wire.Group
}

// Client calls the control hosts in turn until one answers.
type Client struct {
	hosts   []host
	timeout time.Duration
}

// Option changes one property of a client.
type Option func(*Client)

// WithTimeout bounds each call, over all the hosts that it tries.
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
		})
	}
	return c
}

// attempt returns how long one host may take.
func (c *Client) attempt() time.Duration {
	return max(c.timeout/time.Duration(max(len(c.hosts), 1)), shortestAttempt)
}

// try calls the hosts in turn until one gives an answer that is good, and
// otherwise returns the first answer of all.
func try[T any](ctx context.Context, c *Client, good func(T) bool, call func(context.Context, host) (T, error)) (T, error) {
	var first T
	answered := false
	failure := &CallError{}
	for _, h := range c.hosts {
		response, err := once(ctx, c.attempt(), h, call)
		if err == nil && good(response) {
			return response, nil
		}
		if err == nil && !answered {
			first, answered = response, true
		}
		if err != nil {
			failure.add(h.address, err)
		}
		if final(err) || ctx.Err() != nil {
			break
		}
	}
	if answered {
		return first, nil
	}
	return first, failure
}

func once[T any](ctx context.Context, limit time.Duration, h host, call func(context.Context, host) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return call(ctx, h)
}

func always[T any](T) bool { return true }

// final reports whether another host would say the same.
func final(err error) bool {
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == twirp.InvalidArgument
}

// Refused reports whether a control host answered that a call cannot be done
// as things stand.
func Refused(err error) bool {
	var failure *CallError
	if !errors.As(err, &failure) {
		return false
	}
	for _, one := range failure.errs {
		var t twirp.Error
		if errors.As(one, &t) && t.Code() == twirp.FailedPrecondition {
			return true
		}
	}
	return false
}

// CallError is the error of a call that no control host answered.
type CallError struct {
	hosts []string
	errs  []error
}

func (f *CallError) add(address string, err error) {
	f.hosts = append(f.hosts, address)
	f.errs = append(f.errs, err)
}

// Error lists what each host said, and what to do next.
func (f *CallError) Error() string {
	if len(f.errs) == 0 {
		return "no control host is named (use --control or SNIPEBEAM_CONTROL)"
	}
	parts := make([]string, 0, len(f.errs))
	for n, err := range f.errs {
		parts = append(parts, f.hosts[n]+": "+strings.TrimPrefix(err.Error(), "twirp error "))
	}
	return strings.Join(parts, "; ") + f.hint()
}

func (f *CallError) hint() string {
	var t twirp.Error
	if !errors.As(f.errs[len(f.errs)-1], &t) {
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

// Unwrap returns what the hosts said.
func (f *CallError) Unwrap() []error { return f.errs }

// OutcomeUnknown reports whether the call may have been carried out although no
// answer came.
func (f *CallError) OutcomeUnknown() bool {
	for _, err := range f.errs {
		if !final(err) {
			return true
		}
	}
	return false
}
