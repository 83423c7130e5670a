// Package contract holds the terms that an operator sets for requests: those of a
// rule, such as deadline, retries, at-most-once execution, zone preference and
// limits, and those of a whole service.
//
// Usage:
//
//	c := contract.New(contract.WithDeadline(300*time.Millisecond), contract.WithRetries(2))
//	ctx, cancel := context.WithTimeout(ctx, c.Deadline())
package contract

import "time"

// DefaultDeadline applies to rules without a deadline.
const DefaultDeadline = 10 * time.Second

// DefaultOnceHeader is the header with the idempotency key unless the rule names
// another one.
const DefaultOnceHeader = "Idempotency-Key"

// ZonePreference determines how routing treats instances in other zones.
type ZonePreference int

// Zone preferences.
const (
	ZonePrefer ZonePreference = iota
	ZoneAny
	ZoneRequire
)

// String returns the keyword of the rules file.
func (z ZonePreference) String() string {
	return [...]string{"prefer", "any", "require"}[z]
}

// Priority orders queued requests at an entry host.
type Priority int

// Priorities, most urgent first.
const (
	PriorityHigh Priority = iota
	PriorityNormal
	PriorityLow
)

// String returns the keyword of the rules file.
func (p Priority) String() string {
	return [...]string{"high", "normal", "low"}[p]
}

// Contract holds the terms of one rule. It is immutable.
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
	public         bool
}

// Option changes one term of a contract.
type Option func(*Contract)

// New returns a contract with the given terms and defaults for the rest.
func New(opts ...Option) *Contract {
	c := &Contract{deadline: DefaultDeadline, priority: PriorityNormal}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// WithDeadline sets the time within which the response must have started.
func WithDeadline(d time.Duration) Option { return func(c *Contract) { c.deadline = d } }

// WithRetries sets the maximum number of retries of a request.
func WithRetries(n int) Option { return func(c *Contract) { c.retries = n } }

// WithOnce makes requests run at most once for each idempotency key, which the
// named header carries.
func WithOnce(header string) Option { return func(c *Contract) { c.onceHeader = header } }

// WithZone sets the zone preference.
func WithZone(z ZonePreference) Option { return func(c *Contract) { c.zone = z } }

// WithPriority sets the priority.
func WithPriority(p Priority) Option { return func(c *Contract) { c.priority = p } }

// WithHedge allows hedging: a second copy of a slow request.
func WithHedge() Option { return func(c *Contract) { c.hedge = true } }

// WithFinish lets the upstream finish a request after the caller has disconnected.
func WithFinish() Option { return func(c *Contract) { c.finish = true } }

// WithMaxBody limits the request body in bytes; 0 means the host's limit.
func WithMaxBody(n int64) Option { return func(c *Contract) { c.maxBody = n } }

// WithCallerInFlight limits the requests in flight of one caller; 0 means no limit.
func WithCallerInFlight(n int) Option { return func(c *Contract) { c.callerInFlight = n } }

// WithCallerRate limits the requests a second of one caller; 0 means no limit.
func WithCallerRate(r float64) Option { return func(c *Contract) { c.callerRate = r } }

// Deadline returns the time within which the response must have started.
func (c *Contract) Deadline() time.Duration { return c.deadline }

// Retries returns the maximum number of retries of a request.
func (c *Contract) Retries() int { return c.retries }

// Once reports whether requests run at most once for each idempotency key.
func (c *Contract) Once() bool { return c.onceHeader != "" }

// OnceHeader returns the header that carries the idempotency key.
func (c *Contract) OnceHeader() string { return c.onceHeader }

// Zone returns the zone preference.
func (c *Contract) Zone() ZonePreference { return c.zone }

// Priority returns the priority.
func (c *Contract) Priority() Priority { return c.priority }

// Hedge reports whether hedging of slow requests is allowed.
func (c *Contract) Hedge() bool { return c.hedge }

// Finish reports whether the upstream may finish a request after the caller has
// disconnected.
func (c *Contract) Finish() bool { return c.finish }

// MaxBody returns the limit on the request body in bytes; 0 means the host's limit.
func (c *Contract) MaxBody() int64 { return c.maxBody }

// CallerInFlight returns the limit on one caller's requests in flight; 0 means no
// limit.
func (c *Contract) CallerInFlight() int { return c.callerInFlight }

// CallerRate returns the limit on one caller's requests a second; 0 means no limit.
func (c *Contract) CallerRate() float64 { return c.callerRate }

// WithSingle makes each request run at most once without an idempotency key: it is
// sent to another instance only if the previous one did not run it.
func WithSingle() Option { return func(c *Contract) { c.single = true } }

// WithBulk marks bodies as large: where network links are slow, such requests use
// other entry hosts than small ones.
func WithBulk() Option { return func(c *Contract) { c.bulk = true } }

// WithAttempts limits the number of instances that one request may be sent to; 0
// means no limit.
func WithAttempts(n int) Option { return func(c *Contract) { c.attempts = n } }

// WithAim sets the soft deadline, the time after which a response is worth less to
// the caller; 0 means none.
func WithAim(d time.Duration) Option { return func(c *Contract) { c.aim = d } }

// WithTimeout limits the time from a request's arrival to the end of its response; 0 means
// no limit.
func WithTimeout(d time.Duration) Option { return func(c *Contract) { c.timeout = d } }

// Single reports whether each request runs at most once without an idempotency
// key.
func (c *Contract) Single() bool { return c.single }

// Bulk reports whether bodies are large.
func (c *Contract) Bulk() bool { return c.bulk }

// Attempts returns the limit on the number of instances that one request may be
// sent to; 0 means no limit.
func (c *Contract) Attempts() int { return c.attempts }

// Aim returns the soft deadline, the time after which a response is worth less to
// the caller; 0 means none.
func (c *Contract) Aim() time.Duration { return c.aim }

// Timeout returns the limit on the time from a request's arrival to the end of its response; 0
// means no limit.
func (c *Contract) Timeout() time.Duration { return c.timeout }

// WithPublic lets callers without an organisation's key use the rule.
func WithPublic() Option { return func(c *Contract) { c.public = true } }

// Public reports whether callers need no organisation's key.
func (c *Contract) Public() bool { return c.public }
