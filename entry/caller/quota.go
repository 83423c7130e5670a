package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/quota"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// Quota charges requests to organisations with a limit.
type Quota interface {
	// Acquire returns a token for a request with the given time left, or why there is
	// none. It may wait for a grant of the control hosts.
	Acquire(ctx context.Context, o *contract.Organisation, left time.Duration) (*quota.Token, *quota.Refusal)
	// Ready reports whether a request of the organisation is unlikely to wait for long.
	Ready(o *contract.Organisation) bool
}

// chargeFirst charges the request before an instance is chosen if it may wait for long, as
// nobody leads the control hosts or the organisation is at its limit, so that it keeps no other
// request from the instance.
func (h *Handler) chargeFirst(c *call) *outcome.Problem {
	if h.cfg.Quota == nil || !c.organisation.Limited() || h.cfg.Quota.Ready(c.organisation) {
		return nil
	}
	return h.charge(c)
}

// charge takes a token of the organisation for the request, unless it has one that is
// still valid. The token is spent when the request is first sent to an instance.
func (h *Handler) charge(c *call) *outcome.Problem {
	if h.cfg.Quota == nil || !c.organisation.Limited() || c.token.Usable() {
		return nil
	}
	c.token.Release() // has expired
	token, refusal := h.cfg.Quota.Acquire(c.ctx, c.organisation, c.ctx.left())
	if refusal != nil {
		c.quotaRetryAfter = refusal.RetryAfter()
		return c.problem(outcome.NotRun, refusal.Reason(), refusal.Detail())
	}
	c.token = token
	return nil
}

// tokenExpired reports whether the request was not sent because its token had expired when there
// was a link, which may take longer than the token is valid.
func (c *call) tokenExpired(err error) bool {
	var failure *upstream.Failure
	return c.token != nil && errors.As(err, &failure) && failure.Cause() == upstream.Withdrawn && !c.token.Usable()
}

// restoreToken takes back the charge if no byte has reached an instance.
func (c *call) restoreToken() {
	if !c.sent && c.exchanges == 0 {
		c.token.Restore()
	}
}

// giveBack returns the token of a request that ends without having been sent.
func (c *call) giveBack() {
	c.restoreToken()
	c.token.Release()
}

// relayedRetryAfter returns the time in the response of another entry host after which the
// caller should try again, 0 for none.
func relayedRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0 && seconds <= time.Hour.Seconds()) { // NaN too
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// left returns the time until the deadline.
func (c *deadlineContext) left() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.IsZero() {
		return maxLeft
	}
	return time.Until(c.deadline)
}

// maxLeft is the time left to a request without a deadline.
const maxLeft = time.Hour
