package quota

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

// Constants of the retries that are granted from the allowance of a service.
const (
	// savedPart is the part of the allowance that is saved while nobody uses it. A leader
	// that was replaced and does not know it yet may grant as much once more.
	savedPart = 0.125
	// reservedPart is the part of the saved retries that hedges leave to other retries.
	reservedPart = 0.5
)

var grantedRetries = metrics.GetOrCreateCounter("snipebeam_granted_retries_total")

// WithTerms sets the function that returns the terms of a service in the rules in force.
func WithTerms(terms func(service string) *contract.Service) Option {
	return func(s *Service) { s.terms = terms }
}

// GrantRetries grants an entry host retries of a service. In any window all hosts together
// use at most the allowance: what was saved, by this leader and by one that it has
// replaced, and what was earned while grants that are used in the window were made. A new
// leader has saved nothing.
func (s *Service) GrantRetries(_ context.Context, req *wire.RetryGrantRequest) (*wire.RetryGrantResponse, error) {
	status, now := s.log.Status(), s.now()
	if status.Leader() != s.name {
		return &wire.RetryGrantResponse{LeaderAddress: status.LeaderAddress()}, nil
	}
	grantsSince := status.LeadsSince().Add(Validity)
	if !status.Quorum() || now.Before(grantsSince) {
		return nil, twirp.NewError(twirp.Unavailable, "this control host does not grant yet")
	}
	allowance, window := s.terms(req.GetService()).RetryAllowance()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startTerm(status.Term())
	b := s.retries[req.GetService()]
	if b == nil {
		b = &bucket{at: grantsSince}
		s.retries[req.GetService()] = b
	}
	saved := min(max(savedPart*float64(allowance), 1), float64(allowance)/2)
	b.fill((float64(allowance)-2*saved)/(window+Validity).Seconds(), saved, now)
	response := &wire.RetryGrantResponse{Leader: true, ValidNs: int64(Validity)}
	response.Retries = b.take(req.GetRetries(), 0)
	response.Hedges = b.take(req.GetHedges(), reservedPart*saved)
	grantedRetries.Add(int(response.Retries + response.Hedges))
	if response.Retries < req.GetRetries() || response.Hedges < req.GetHedges() {
		response.PauseNs = int64(s.pause(req.GetHost(), now))
	}
	return response, nil
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
