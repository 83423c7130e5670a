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
	errDeadline   = errors.New("deadline exceeded")
	errCallerGone = errors.New("caller disconnected")
)

// deadlineContext is the context of a call. The rule's deadline runs from the
// last byte of the request, so that a slow upload does not use it up; the
// caller's deadline and the rule's timeout run from arrival, and apply to the
// whole response.
type deadlineContext struct {
	context.Context // ends at the deadline, or when the caller disconnects unless detached
	cancel          context.CancelCauseFunc
	caller          context.Context // ends when the caller disconnects
	detached        bool
	stopWatch       func() bool // stops watching for the caller's disconnect
	hostStop        *stop
	unwatchHost     func() bool   // stops watching for the end of the host's stop
	ruleDeadline    time.Duration // from the last byte of the request
	callerTimeout   time.Duration // sent by the caller, 0 for none
	callerDeadline  time.Time     // by callerTimeout, zero for none
	arrivalDeadline time.Time     // earlier of the caller's deadline and the rule's timeout, zero for none

	mu       sync.Mutex
	deadline time.Time // zero for none while the rule's deadline is suspended
	timer    *time.Timer
	disarmed bool // only arrivalDeadline applies any more
	// outlivesStop is set as the response is begun to the caller.
	outlivesStop bool
}

func newDeadlineContext(r *http.Request, terms *contract.Contract, deadlineHeader string, host *stop) *deadlineContext {
	ruleDeadline := terms.Deadline()
	c := &deadlineContext{caller: r.Context(), ruleDeadline: ruleDeadline, hostStop: host}
	now := time.Now()
	if ms, err := strconv.ParseInt(header(r.Header, deadlineHeader), 10, 32); err == nil && ms > 0 {
		c.callerTimeout = time.Duration(ms) * time.Millisecond
		c.callerDeadline = now.Add(c.callerTimeout)
		c.arrivalDeadline = c.callerDeadline
	}
	if timeout := terms.Timeout(); timeout > 0 && (c.arrivalDeadline.IsZero() || now.Add(timeout).Before(c.arrivalDeadline)) {
		c.arrivalDeadline = now.Add(timeout)
	}
	c.Context, c.cancel = context.WithCancelCause(context.WithoutCancel(r.Context()))
	c.stopWatch = context.AfterFunc(r.Context(), func() { c.cancel(errCallerGone) })
	c.unwatchHost = context.AfterFunc(host.ctx, c.endWithHost)
	c.deadline = c.earliest(now.Add(ruleDeadline))
	c.timer = time.AfterFunc(c.deadline.Sub(now), c.expire)
	return c
}

// earliest returns the earlier of a time, zero for none, and the deadline that
// runs from arrival.
func (c *deadlineContext) earliest(at time.Time) time.Time {
	if at.IsZero() || !c.arrivalDeadline.IsZero() && c.arrivalDeadline.Before(at) {
		return c.arrivalDeadline
	}
	return at
}

// Err sees the end of the host's stop at once. The watch on it runs in a goroutine
// of its own, and another request that ends first may hand over its instance.
func (c *deadlineContext) Err() error {
	if c.hostStop.ended() {
		c.endWithHost()
	}
	return c.Context.Err()
}

// endWithHost ends the context at the end of the host's stop, unless a byte of the
// response was sent to the caller.
func (c *deadlineContext) endWithHost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.outlivesStop {
		c.cancel(errHostStopping)
	}
}

// expire ends the context, or rearms the timer if the deadline was moved.
func (c *deadlineContext) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch left := time.Until(c.deadline); {
	case c.deadline.IsZero():
	case left > 0:
		c.timer.Reset(left)
	default:
		c.cancel(errDeadline)
	}
}

// suspend stops the rule's deadline while the request is being received.
func (c *deadlineContext) suspend() { c.reset(time.Time{}) }

// start starts the rule's deadline once the whole request has been received.
func (c *deadlineContext) start() { c.reset(time.Now().Add(c.ruleDeadline)) }

func (c *deadlineContext) reset(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.disarmed {
		c.setDeadline(c.earliest(at))
	}
}

func (c *deadlineContext) setDeadline(at time.Time) {
	c.deadline = at
	if at.IsZero() {
		c.timer.Stop()
		return
	}
	c.timer.Reset(time.Until(at))
}

// Deadline returns the current deadline, which may still move.
func (c *deadlineContext) Deadline() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := c.hostStop.earliest(c.deadline)
	return deadline, !deadline.IsZero()
}

// remaining returns the time that the next layer may take.
func (c *deadlineContext) remaining() time.Duration {
	at, ok := c.Deadline()
	if !ok {
		return c.ruleDeadline
	}
	return time.Until(at)
}

func (c *deadlineContext) pastArrivalDeadline() bool {
	return !c.arrivalDeadline.IsZero() && !time.Now().Before(c.arrivalDeadline)
}

// detach keeps the context alive after the caller has disconnected.
func (c *deadlineContext) detach() {
	c.stopWatch()
	c.detached = true
}

// disarm lifts the rule's deadline once the response has begun. The rule's timeout and the
// deadline that the caller sent remain.
func (c *deadlineContext) disarm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disarmed = true
	c.setDeadline(c.arrivalDeadline)
	if c.detached {
		c.stopWatch = context.AfterFunc(c.caller, c.finish)
	}
}

// finish gives the instance the rule's deadline once more to end its response
// after the caller has disconnected.
func (c *deadlineContext) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := time.Now().Add(c.ruleDeadline); c.deadline.IsZero() || at.Before(c.deadline) {
		c.setDeadline(at)
	}
}

// outliveStop keeps the context alive at the end of the host's stop, as a byte of
// the response is about to be sent to the caller. It reports false if the context
// has ended.
func (c *deadlineContext) outliveStop() bool {
	c.unwatchHost()
	if c.Err() != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outlivesStop = true
	return c.Context.Err() == nil
}

// cause returns why the context has ended, nil if it has not.
func (c *deadlineContext) cause() error {
	if c.Err() == nil {
		return nil
	}
	return context.Cause(c.Context)
}

func (c *deadlineContext) stop() {
	c.stopWatch()
	c.unwatchHost()
	c.timer.Stop()
	c.cancel(context.Canceled)
}
