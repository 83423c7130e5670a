package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/contract"
)

var (
	errDeadline   = errors.New("the deadline has passed")
	errCallerGone = errors.New("the caller has gone")
)

// clock is the context of a call up to the first byte of its answer. The
// rule's deadline runs from the last byte of the request, so that an upload
// may take its time; the caller's own deadline runs from arrival.
type clock struct {
	context.Context // ends with the deadline, or with the caller unless detached
	cancel          context.CancelCauseFunc
	unwatch         func() bool
	limit           time.Duration
	given           time.Duration // that the caller will wait, 0 if it gave no deadline
	own             time.Time     // the caller's own deadline, zero if it gave none

	mu    sync.Mutex
	at    time.Time // zero while only the request is awaited
	timer *time.Timer
	done  bool // no deadline any more
}

func newClock(r *http.Request, terms *contract.Contract, deadlineHeader string) *clock {
	limit := terms.Deadline()
	c := &clock{limit: limit}
	now := time.Now()
	if ms, err := strconv.ParseInt(header(r.Header, deadlineHeader), 10, 32); err == nil && ms > 0 {
		c.given = time.Duration(ms) * time.Millisecond
		c.own = now.Add(c.given)
	}
	if timeout := terms.Timeout(); timeout > 0 && (c.own.IsZero() || now.Add(timeout).Before(c.own)) {
		c.own = now.Add(timeout)
	}
	c.Context, c.cancel = context.WithCancelCause(context.WithoutCancel(r.Context()))
	c.unwatch = context.AfterFunc(r.Context(), func() { c.cancel(errCallerGone) })
	c.at = c.bounded(now.Add(limit))
	c.timer = time.AfterFunc(c.at.Sub(now), c.ring)
	return c
}

// bounded returns the earlier of a time, zero for none, and the caller's own
// deadline.
func (c *clock) bounded(at time.Time) time.Time {
	if at.IsZero() || !c.own.IsZero() && c.own.Before(at) {
		return c.own
	}
	return at
}

// ring ends the context, or waits on if the deadline was put off.
func (c *clock) ring() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch left := time.Until(c.at); {
	case c.at.IsZero():
	case left > 0:
		c.timer.Reset(left)
	default:
		c.cancel(errDeadline)
	}
}

// await stops the rule's deadline while the request is on its way.
func (c *clock) await() { c.set(time.Time{}) }

// begin starts the rule's deadline: the whole request is here.
func (c *clock) begin() { c.set(time.Now().Add(c.limit)) }

func (c *clock) set(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = c.bounded(at)
	if c.at.IsZero() || c.done {
		c.timer.Stop()
		return
	}
	c.timer.Reset(time.Until(c.at))
}

// Deadline returns when the context ends as things stand.
func (c *clock) Deadline() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at, !c.at.IsZero()
}

// left returns the time that the next layer may take.
func (c *clock) left() time.Duration {
	at, ok := c.Deadline()
	if !ok {
		return c.limit
	}
	return time.Until(at)
}

// detach keeps the context going when the caller has gone.
func (c *clock) detach() { c.unwatch() }

// answered ends the deadline: the answer has begun.
func (c *clock) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = true
	c.timer.Stop()
}

func (c *clock) cause() error { return context.Cause(c.Context) }

func (c *clock) stop() {
	c.unwatch()
	c.answered()
	c.cancel(context.Canceled)
}
