package contract

import "time"

// Defaults of the terms of a service.
const (
	DefaultProbeBudget     = 0.01 // share of slot time
	DefaultBacklogCount    = 50   // waiting requests
	DefaultBacklogAge      = 2 * time.Second
	DefaultSpread          = 3   // entry hosts given to a service's callers, including spares
	DefaultRetryBudget     = 0.1 // share of requests
	DefaultRetryAllowance  = 20  // in DefaultRetryWindow; hosts with few requests earn no retry of their own
	DefaultRetryWindow     = 10 * time.Second
	DefaultServiceOwner    = "nobody named"
	DefaultServiceInFlight = 0 // no limit
	DefaultServiceRate     = 0 // no limit
)

// Service holds the terms that apply to a whole service. It is immutable.
type Service struct {
	name           string
	owner          string
	probeBudget    float64
	backlogCount   int
	backlogAge     time.Duration
	inFlight       int
	rate           float64
	callerInFlight int
	callerRate     float64
	spread         int
	policy         string
	retryBudget    float64
	health         string
	allowance      int
	window         time.Duration
	coldRate       float64
}

// ServiceOption changes one term of a service.
type ServiceOption func(*Service)

// NewService returns a service with the given terms and defaults for the rest.
func NewService(name string, opts ...ServiceOption) *Service {
	s := &Service{
		name: name, owner: DefaultServiceOwner, probeBudget: DefaultProbeBudget,
		backlogCount: DefaultBacklogCount, backlogAge: DefaultBacklogAge,
		spread: DefaultSpread, retryBudget: DefaultRetryBudget, allowance: DefaultRetryAllowance, window: DefaultRetryWindow,
		inFlight: DefaultServiceInFlight, rate: DefaultServiceRate,
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// WithOwner names who is notified of a growing backlog.
func WithOwner(owner string) ServiceOption { return func(s *Service) { s.owner = owner } }

// WithProbeBudget sets the share of an instance's slot time that probes may use.
func WithProbeBudget(share float64) ServiceOption {
	return func(s *Service) { s.probeBudget = share }
}

// WithBacklog sets the number of waiting requests and the age of the oldest one
// from which they count as a backlog.
func WithBacklog(count int, age time.Duration) ServiceOption {
	return func(s *Service) { s.backlogCount, s.backlogAge = count, age }
}

// WithInFlight limits the requests in flight; 0 means no limit.
func WithInFlight(n int) ServiceOption { return func(s *Service) { s.inFlight = n } }

// WithRate limits the requests a second; 0 means no limit.
func WithRate(r float64) ServiceOption { return func(s *Service) { s.rate = r } }

// WithEachCallerInFlight limits each caller's requests in flight; 0 means no limit.
func WithEachCallerInFlight(n int) ServiceOption {
	return func(s *Service) { s.callerInFlight = n }
}

// WithEachCallerRate limits each caller's requests a second; 0 means no limit.
func WithEachCallerRate(r float64) ServiceOption {
	return func(s *Service) { s.callerRate = r }
}

// WithSpread sets the number of entry hosts that a service's callers are given.
func WithSpread(n int) ServiceOption { return func(s *Service) { s.spread = n } }

// WithPolicy sets the routing policy by name; empty means the host's default.
func WithPolicy(name string) ServiceOption { return func(s *Service) { s.policy = name } }

// WithRetryBudget sets the share of requests that may be retries.
func WithRetryBudget(share float64) ServiceOption {
	return func(s *Service) { s.retryBudget = share }
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Owner returns who is notified of a growing backlog.
func (s *Service) Owner() string { return s.owner }

// ProbeBudget returns the share of an instance's slot time that probes may use.
func (s *Service) ProbeBudget() float64 { return s.probeBudget }

// BacklogCount returns the number of waiting requests that count as a backlog.
func (s *Service) BacklogCount() int { return s.backlogCount }

// BacklogAge returns the age of the oldest waiting request that counts as a
// backlog.
func (s *Service) BacklogAge() time.Duration { return s.backlogAge }

// InFlight returns the limit on requests in flight; 0 means no limit.
func (s *Service) InFlight() int { return s.inFlight }

// Rate returns the limit on requests a second; 0 means no limit.
func (s *Service) Rate() float64 { return s.rate }

// CallerInFlight returns the limit on each caller's requests in flight; 0 means no
// limit.
func (s *Service) CallerInFlight() int { return s.callerInFlight }

// CallerRate returns the limit on each caller's requests a second; 0 means no limit.
func (s *Service) CallerRate() float64 { return s.callerRate }

// Spread returns the number of entry hosts that a service's callers are given.
func (s *Service) Spread() int { return s.spread }

// Policy returns the routing policy's name; empty means the host's default.
func (s *Service) Policy() string { return s.policy }

// RetryBudget returns the share of requests that may be retries.
func (s *Service) RetryBudget() float64 { return s.retryBudget }

// WithColdRate limits the requests a second to each cold instance, from all entry hosts
// together; 0 means no limit.
func WithColdRate(perSecond float64) ServiceOption {
	return func(s *Service) { s.coldRate = perSecond }
}

// ColdRate returns the limit on requests a second to each cold instance, from all entry
// hosts together; 0 means no limit.
func (s *Service) ColdRate() float64 { return s.coldRate }

// WithHealth sets the path at which an instance reports its load; empty means that
// it has none.
func WithHealth(path string) ServiceOption { return func(s *Service) { s.health = path } }

// Health returns the path at which an instance reports its load; empty means that
// it has none.
func (s *Service) Health() string { return s.health }

// WithRetryAllowance allows n further retries in any window beyond the retry
// budget, for all hosts together.
func WithRetryAllowance(n int, window time.Duration) ServiceOption {
	return func(s *Service) { s.allowance, s.window = n, window }
}

// RetryAllowance returns the number of retries allowed in any window beyond the
// retry budget; 0 means none.
func (s *Service) RetryAllowance() (n int, window time.Duration) { return s.allowance, s.window }
