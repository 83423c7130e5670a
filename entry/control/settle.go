package control

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Limits and metrics of the settlement of claims.
const (
	maxUnsettled        = 4096        // claims that are settled concurrently
	settleTimeout       = time.Second // of one attempt
	minSettleBackoff    = 50 * time.Millisecond
	maxSettleBackoff    = 2 * time.Second
	settleDeadline      = 10 * time.Minute
	waitPollInterval    = 20 * time.Millisecond
	abandonedName       = "snipebeam_claims_abandoned_total"
	settledName         = "snipebeam_claims_settled_total"
	refusedReleasesName = "snipebeam_claim_releases_refused_total"
)

var (
	abandoned       = metrics.GetOrCreateCounter(abandonedName)
	settled         = metrics.GetOrCreateCounter(settledName)
	refusedReleases = metrics.GetOrCreateCounter(refusedReleasesName)
)

// Settler completes and releases claims in the background, retrying each until
// a control host acknowledges it. Claims beyond maxUnsettled, and claims that are
// not settled within settleDeadline, are counted as abandoned; they remain claimed,
// so that a resent request gets the outcome "unknown".
type Settler struct {
	claims Claimer

	mu        sync.Mutex
	unsettled int
}

// NewSettler returns a settler.
func NewSettler(claims Claimer) *Settler { return &Settler{claims: claims} }

// Unsettled returns the number of claims without an acknowledgement.
func (s *Settler) Unsettled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsettled
}

// Complete stores the response to a claimed request; nil means that it is
// unknown.
func (s *Settler) Complete(req *wire.ClaimRequest, answer *wire.StoredAnswer) {
	if answer == nil {
		answer = &wire.StoredAnswer{BodyDropped: true}
	}
	s.settle(func(ctx context.Context) error {
		_, err := s.claims.Complete(ctx, &wire.CompleteRequest{Key: req.GetKey(), ClaimId: req.GetClaimId(), Answer: answer})
		return err
	})
}

// Release releases a claim whose request was not and will not be dispatched.
func (s *Settler) Release(req *wire.ClaimRequest) {
	s.settle(func(ctx context.Context) error {
		response, err := s.claims.Release(ctx, &wire.ReleaseRequest{Key: req.GetKey(), ClaimId: req.GetClaimId()})
		if err == nil && !response.GetReleased() {
			refusedReleases.Inc()
		}
		return err
	})
}

func (s *Settler) settle(try func(ctx context.Context) error) {
	if !s.reserve() {
		abandoned.Inc()
		return
	}
	go func() {
		defer s.done()
		if !retryUntilDeadline(try) {
			abandoned.Inc()
			return
		}
		settled.Inc()
	}()
}

func retryUntilDeadline(try func(ctx context.Context) error) bool {
	until := time.Now().Add(settleDeadline)
	for wait := minSettleBackoff; time.Now().Before(until); wait = min(2*wait, maxSettleBackoff) {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		err := try(ctx)
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(wait)
	}
	return false
}

func (s *Settler) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unsettled >= maxUnsettled {
		return false
	}
	s.unsettled++
	return true
}

func (s *Settler) done() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsettled--
}

// Wait blocks until all claims are settled or the context ends. It returns the
// number of unsettled claims.
func (s *Settler) Wait(ctx context.Context) int {
	for {
		n := s.Unsettled()
		if n == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return n
		case <-time.After(waitPollInterval):
		}
	}
}
