package contract

import "time"

// Defaults of a service that no service line names.
const (
	DefaultProbeBudget     = 0.01 // share of slot time
	DefaultBacklogCount    = 50
	DefaultBacklogAge      = 2 * time.Second
	DefaultSpread          = 3 // entry hosts that serve one service in a zone group
	DefaultRetryBudget     = 0.1
	DefaultServiceOwner    = "nobody named"
	DefaultServiceInFlight = 0
	DefaultServiceRate     = 0
)

// Service holds the terms that bind a whole service. It is immutable.
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
}

// ServiceOption changes one term of a service.
type ServiceOption func(*Service)

// NewService returns the terms of a service with defaults for the rest.
func NewService(name string, opts ...ServiceOption) *Service {
	s := &Service{
		name: name, owner: DefaultServiceOwner, probeBudget: DefaultProbeBudget,
		backlogCount: DefaultBacklogCount, backlogAge: DefaultBacklogAge,
		spread: DefaultSpread, retryBudget: DefaultRetryBudget,
		inFlight: DefaultServiceInFlight, rate: DefaultServiceRate,
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// WithOwner names who is told of a growing backlog.
func WithOwner(owner string) ServiceOption { return func(s *Service) { s.owner = owner } }

// WithProbeBudget sets the share of an instance's slot time that probes may use.
func WithProbeBudget(share float64) ServiceOption {
	return func(s *Service) { s.probeBudget = share }
}

// WithBacklog sets the count and age from which waiting requests are a backlog.
func WithBacklog(count int, age time.Duration) ServiceOption {
	return func(s *Service) { s.backlogCount, s.backlogAge = count, age }
}

// WithInFlight bounds the requests in flight, 0 for none.
func WithInFlight(n int) ServiceOption { return func(s *Service) { s.inFlight = n } }

// WithRate bounds the requests a second, 0 for none.
func WithRate(r float64) ServiceOption { return func(s *Service) { s.rate = r } }

// WithEachCallerInFlight bounds each caller's requests in flight, 0 for none.
func WithEachCallerInFlight(n int) ServiceOption {
	return func(s *Service) { s.callerInFlight = n }
}

// WithEachCallerRate bounds each caller's requests a second, 0 for none.
func WithEachCallerRate(r float64) ServiceOption {
	return func(s *Service) { s.callerRate = r }
}

// WithSpread sets how many entry hosts a service's callers are sent to.
func WithSpread(n int) ServiceOption { return func(s *Service) { s.spread = n } }

// WithPolicy names the routing policy, empty for the host's default.
func WithPolicy(name string) ServiceOption { return func(s *Service) { s.policy = name } }

// WithRetryBudget sets the share of requests that may be retries.
func WithRetryBudget(share float64) ServiceOption {
	return func(s *Service) { s.retryBudget = share }
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Owner returns who is told of a growing backlog.
func (s *Service) Owner() string { return s.owner }

// ProbeBudget returns the share of an instance's slot time that probes may use.
func (s *Service) ProbeBudget() float64 { return s.probeBudget }

// BacklogCount returns the number of waiting requests that make a backlog.
func (s *Service) BacklogCount() int { return s.backlogCount }

// BacklogAge returns the age of the oldest request that makes a backlog.
func (s *Service) BacklogAge() time.Duration { return s.backlogAge }

// InFlight returns the bound on requests in flight, 0 for none.
func (s *Service) InFlight() int { return s.inFlight }

// Rate returns the bound on requests a second, 0 for none.
func (s *Service) Rate() float64 { return s.rate }

// CallerInFlight returns the bound on each caller's requests in flight, 0 for none.
func (s *Service) CallerInFlight() int { return s.callerInFlight }

// CallerRate returns the bound on each caller's requests a second, 0 for none.
func (s *Service) CallerRate() float64 { return s.callerRate }

// Spread returns how many entry hosts a service's callers are sent to.
func (s *Service) Spread() int { return s.spread }

// Policy returns the routing policy's name, empty for the host's default.
func (s *Service) Policy() string { return s.policy }

// RetryBudget returns the share of requests that may be retries.
func (s *Service) RetryBudget() float64 { return s.retryBudget }

// WithHealth sets the path at which an instance tells of its load, empty if it
// has none.
func WithHealth(path string) ServiceOption { return func(s *Service) { s.health = path } }

// Health returns the path at which an instance tells of its load, empty if it
// has none.
func (s *Service) Health() string { return s.health }

// WithRetryAllowance adds to the retry budget so many retries in any window, of
// all hosts together.
func WithRetryAllowance(n int, window time.Duration) ServiceOption {
	return func(s *Service) { s.allowance, s.window = n, window }
}

// RetryAllowance returns how many retries beside the budget's share of the
// requests there may be in any window, 0 for none.
func (s *Service) RetryAllowance() (n int, window time.Duration) { return s.allowance, s.window }
