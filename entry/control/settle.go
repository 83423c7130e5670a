package control

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Bounds of the settlement of claims.
const (
	maxUnsettled   = 4096
	settleTry      = time.Second
	firstPause     = 50 * time.Millisecond
	lastPause      = 2 * time.Second
	settleGiveUp   = 10 * time.Minute
	waitStep       = 20 * time.Millisecond
	abandonedName  = "snipebeam_claims_abandoned_total"
	settledName    = "snipebeam_claims_settled_total"
	releaseRefused = "snipebeam_claim_releases_refused_total"
)

var (
	abandoned = metrics.GetOrCreateCounter(abandonedName)
	settled   = metrics.GetOrCreateCounter(settledName)
	refusals  = metrics.GetOrCreateCounter(releaseRefused)
)

// Settler completes and releases claims in the background, each until a
// control host acknowledges it. What cannot be settled in time is counted; its
// claim stays held, so that resends are told "unknown".
type Settler struct {
	claims Claimer

	mu        sync.Mutex
	unsettled int
}

// NewSettler returns a settler.
func NewSettler(claims Claimer) *Settler { return &Settler{claims: claims} }

// Unsettled returns how many claims wait for an acknowledgement.
func (s *Settler) Unsettled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsettled
}

// Complete stores the answer of a claimed request; nil means that it is not
// known.
func (s *Settler) Complete(req *wire.ClaimRequest, answer *wire.StoredAnswer) {
	if answer == nil {
		answer = &wire.StoredAnswer{BodyDropped: true}
	}
	s.settle(func(ctx context.Context) error {
		_, err := s.claims.Complete(ctx, &wire.CompleteRequest{Key: req.GetKey(), ClaimId: req.GetClaimId(), Answer: answer})
		return err
	})
}

// Release gives up a claim that was not and will not be dispatched.
func (s *Settler) Release(req *wire.ClaimRequest) {
	s.settle(func(ctx context.Context) error {
		response, err := s.claims.Release(ctx, &wire.ReleaseRequest{Key: req.GetKey(), ClaimId: req.GetClaimId()})
		if err == nil && !response.GetReleased() {
			refusals.Inc()
		}
		return err
	})
}

func (s *Settler) settle(try func(ctx context.Context) error) {
	if !s.begin() {
		abandoned.Inc()
		return
	}
	go func() {
		defer s.end()
		if !keepTrying(try) {
			abandoned.Inc()
			return
		}
		settled.Inc()
	}()
}

func keepTrying(try func(ctx context.Context) error) bool {
	until := time.Now().Add(settleGiveUp)
	for wait := firstPause; time.Now().Before(until); wait = min(2*wait, lastPause) {
		ctx, cancel := context.WithTimeout(context.Background(), settleTry)
		err := try(ctx)
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(wait)
	}
	return false
}

func (s *Settler) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unsettled >= maxUnsettled {
		return false
	}
	s.unsettled++
	return true
}

func (s *Settler) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsettled--
}

// Wait waits until everything is settled or the context ends. It returns how
// many claims are left.
func (s *Settler) Wait(ctx context.Context) int {
	for {
		n := s.Unsettled()
		if n == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return n
		case <-time.After(waitStep):
		}
	}
}
