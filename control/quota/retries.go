package quota

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

// Constants of the retries that are granted from the allowance of a service.
const (
	// retryValidity is how long an entry host may use a retry that was granted to it.
	retryValidity = 500 * time.Millisecond
	// savedPart is the part of the allowance that is saved while nobody uses it.
	savedPart = 0.5
	// reservedPart is the part of the saved retries that hedges leave to other retries.
	reservedPart = 0.5
	// suspensionLimit is the time of suspension after which another host may lead.
	suspensionLimit = 100 * time.Millisecond
)

var grantedRetries = metrics.GetOrCreateCounter("snipebeam_granted_retries_total")

// WithTerms sets the function that returns the terms of a service in the rules in force.
func WithTerms(terms func(service string) *contract.Service) Option {
	return func(s *Service) { s.terms = terms }
}

// WithSuspended sets the function that returns for how long the machine has been suspended
// since the start.
func WithSuspended(suspended func() time.Duration) Option {
	return func(s *Service) { s.suspended = suspended }
}

// GrantRetries grants an entry host retries of a service. In any window all hosts together
// use at most the allowance: what was saved, and what was earned while grants that are used
// in the window were made. A leader has saved nothing when it begins to grant.
func (s *Service) GrantRetries(_ context.Context, req *wire.RetryGrantRequest) (*wire.RetryGrantResponse, error) {
	status, now := s.log.Status(), s.now()
	if status.Leader() != s.name {
		return &wire.RetryGrantResponse{LeaderAddress: status.LeaderAddress()}, nil
	}
	allowance, window := s.terms(req.GetService()).RetryAllowance()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startTerm(status.Term())
	since := s.grantsSince(status, now)
	if !status.Quorum() || now.Before(since) {
		return nil, twirp.NewError(twirp.Unavailable, "this control host does not grant yet")
	}
	b := s.retries[req.GetService()]
	if b == nil {
		b = &bucket{at: since}
		s.retries[req.GetService()] = b
	}
	saved := savedPart * float64(allowance)
	b.fill((float64(allowance)-saved)/(window+retryValidity).Seconds(), saved, now)
	response := &wire.RetryGrantResponse{Leader: true, ValidNs: int64(retryValidity)}
	response.Retries = b.take(req.GetRetries(), 0)
	response.Hedges = b.take(req.GetHedges(), reservedPart*saved)
	grantedRetries.Add(int(response.Retries + response.Hedges))
	if response.Retries < req.GetRetries() || response.Hedges < req.GetHedges() {
		response.PauseNs = int64(s.pause(req.GetHost(), now))
	}
	return response, nil
}

// grantsSince returns the time since which this leader grants retries: once a former leader
// has certainly heard of it, and once it would itself have heard of a successor after its
// machine was suspended. The caller holds the lock.
func (s *Service) grantsSince(status agreement.Status, now time.Time) time.Time {
	s.noteSuspension(now)
	since := status.LeadsSince()
	if s.resumedAt.After(since) {
		since = s.resumedAt
	}
	return since.Add(Validity)
}

// noteSuspension records the end of a suspension of the machine. The caller holds the lock.
func (s *Service) noteSuspension(now time.Time) {
	if suspended := s.suspended(); suspended-s.suspension > suspensionLimit {
		s.resumedAt = now
		clear(s.retries)
		s.suspension = suspended
	}
}

// take takes up to n tokens and leaves the given number.
func (b *bucket) take(n uint32, leave float64) uint32 {
	taken := min(n, uint32(max(b.tokens-leave, 0)))
	b.tokens -= float64(taken)
	return taken
}

// noAllowance are the terms of services while the rules are unknown.
func noAllowance(service string) *contract.Service {
	return contract.NewService(service, contract.WithRetryAllowance(0, time.Second))
}
