// Package contract holds what an operator promised for the requests that one
// rule matches: deadline, retries, at most one execution, zones and limits.
//
// Usage:
//
//	c := contract.New(contract.WithDeadline(300*time.Millisecond), contract.WithRetries(2))
//	ctx, cancel := context.WithTimeout(ctx, c.Deadline())
package contract

import "time"

// DefaultDeadline applies to a rule that names no deadline.
const DefaultDeadline = 10 * time.Second

// DefaultOnceHeader carries the idempotency key unless the rule names another.
const DefaultOnceHeader = "Idempotency-Key"

// ZonePreference says how the zone of an instance weighs in a choice.
type ZonePreference int

// Zone preferences.
const (
	ZonePrefer ZonePreference = iota
	ZoneAny
	ZoneRequire
)

// String returns the word used in a rules file.
func (z ZonePreference) String() string {
	return [...]string{"prefer", "any", "require"}[z]
}

// Priority orders requests that wait at an entry host.
type Priority int

// Priorities, the most urgent first.
const (
	PriorityHigh Priority = iota
	PriorityNormal
	PriorityLow
)

// String returns the word used in a rules file.
func (p Priority) String() string {
	return [...]string{"high", "normal", "low"}[p]
}

// Contract is immutable.
type Contract struct {
	deadline       time.Duration
	retries        int
	onceHeader     string
	zone           ZonePreference
	priority       Priority
	hedge          bool
	finish         bool
	maxBody        int64
	callerInFlight int
	callerRate     float64
	single         bool
	bulk           bool
	attempts       int
	aim            time.Duration
	timeout        time.Duration
}

// Option changes one term of a contract.
type Option func(*Contract)

// New returns a contract with the defaults and the given terms.
func New(opts ...Option) *Contract {
	c := &Contract{deadline: DefaultDeadline, priority: PriorityNormal}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// WithDeadline sets the time within which the whole answer must have begun.
func WithDeadline(d time.Duration) Option { return func(c *Contract) { c.deadline = d } }

// WithRetries sets how many further attempts a request may have.
func WithRetries(n int) Option { return func(c *Contract) { c.retries = n } }

// WithOnce makes requests run at most once, identified by the named header.
func WithOnce(header string) Option { return func(c *Contract) { c.onceHeader = header } }

// WithZone sets the zone preference.
func WithZone(z ZonePreference) Option { return func(c *Contract) { c.zone = z } }

// WithPriority sets the priority.
func WithPriority(p Priority) Option { return func(c *Contract) { c.priority = p } }

// WithHedge allows a second copy of a slow request.
func WithHedge() Option { return func(c *Contract) { c.hedge = true } }

// WithFinish lets the upstream finish when the caller has gone.
func WithFinish() Option { return func(c *Contract) { c.finish = true } }

// WithMaxBody sets the largest request body in bytes, 0 for the host's limit.
func WithMaxBody(n int64) Option { return func(c *Contract) { c.maxBody = n } }

// WithCallerInFlight bounds the requests in flight of one caller, 0 for none.
func WithCallerInFlight(n int) Option { return func(c *Contract) { c.callerInFlight = n } }

// WithCallerRate bounds the requests a second of one caller, 0 for none.
func WithCallerRate(r float64) Option { return func(c *Contract) { c.callerRate = r } }

// Deadline returns the time within which the answer must have begun.
func (c *Contract) Deadline() time.Duration { return c.deadline }

// Retries returns how many further attempts a request may have.
func (c *Contract) Retries() int { return c.retries }

// Once reports whether a request may run at most once.
func (c *Contract) Once() bool { return c.onceHeader != "" }

// OnceHeader returns the header that carries the idempotency key.
func (c *Contract) OnceHeader() string { return c.onceHeader }

// Zone returns the zone preference.
func (c *Contract) Zone() ZonePreference { return c.zone }

// Priority returns the priority.
func (c *Contract) Priority() Priority { return c.priority }

// Hedge reports whether a second copy of a slow request is allowed.
func (c *Contract) Hedge() bool { return c.hedge }

// Finish reports whether the upstream finishes when the caller has gone.
func (c *Contract) Finish() bool { return c.finish }

// MaxBody returns the largest request body in bytes, 0 for the host's limit.
func (c *Contract) MaxBody() int64 { return c.maxBody }

// CallerInFlight returns the bound on one caller's requests in flight, 0 for none.
func (c *Contract) CallerInFlight() int { return c.callerInFlight }

// CallerRate returns the bound on one caller's requests a second, 0 for none.
func (c *Contract) CallerRate() float64 { return c.callerRate }

// WithSingle makes each request run at most once as it was sent, without a
// key: it goes on to another instance only after one that did not run it.
func WithSingle() Option { return func(c *Contract) { c.single = true } }

// WithBulk says that bodies are large: on thin links they go to other entry
// hosts than small ones.
func WithBulk() Option { return func(c *Contract) { c.bulk = true } }

// WithAttempts bounds the instances that one request may be sent to, 0 for no
// bound.
func WithAttempts(n int) Option { return func(c *Contract) { c.attempts = n } }

// WithAim sets the time within which an answer is worth most, 0 if unknown.
func WithAim(d time.Duration) Option { return func(c *Contract) { c.aim = d } }

// WithTimeout bounds the time from a request's arrival to its answer, 0 for
// no bound.
func WithTimeout(d time.Duration) Option { return func(c *Contract) { c.timeout = d } }

// Single reports whether each request runs at most once as it was sent.
func (c *Contract) Single() bool { return c.single }

// Bulk reports whether bodies are large.
func (c *Contract) Bulk() bool { return c.bulk }

// Attempts returns the bound on the instances that one request may be sent
// to, 0 for none.
func (c *Contract) Attempts() int { return c.attempts }

// Aim returns the time within which an answer is worth most, 0 if unknown.
func (c *Contract) Aim() time.Duration { return c.aim }

// Timeout returns the bound on the time from a request's arrival to its
// answer, 0 for none.
func (c *Contract) Timeout() time.Duration { return c.timeout }
