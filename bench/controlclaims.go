package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/world/wire"
)

func init() { register("control", measureClaims) }

// Size of the load of claims.
const (
	claimClients  = 64
	claimDuration = 5 * time.Second
	maxLatencyUs  = int64(10 * time.Second / time.Microsecond)
)

// claimLoad is the result of clients that each claim one key after another.
type claimLoad struct {
	granted  int
	failed   int
	perS     float64
	p50Ms    float64
	p99Ms    float64
	duration time.Duration
}

func newClaim() *wire.ClaimRequest {
	return &wire.ClaimRequest{
		Key:     &wire.ClaimKey{Service: "checkout", Caller: "studio", IdempotencyKey: uuid.NewString()},
		ClaimId: uuid.NewString(), Holder: "bench", Fingerprint: []byte("12345678"),
	}
}

// loadClaims runs clients that claim keys, spread over all hosts, for a duration.
func loadClaims(g *controlGroup, clients int, d time.Duration) claimLoad {
	histogram := hdrhistogram.New(1, maxLatencyUs, 3)
	var mu sync.Mutex
	var granted, failed atomic.Int64
	var group sync.WaitGroup
	start := time.Now()
	for n := range clients {
		group.Go(func() {
			claims := g.claims(n % len(g.cluster.Controls))
			for time.Since(start) < d {
				sent := time.Now()
				if err := claimOnce(claims, newClaim()); err != nil {
					failed.Add(1)
					continue
				}
				granted.Add(1)
				mu.Lock()
				_ = histogram.RecordValue(time.Since(sent).Microseconds())
				mu.Unlock()
			}
		})
	}
	group.Wait()
	elapsed := time.Since(start)
	return claimLoad{
		granted: int(granted.Load()), failed: int(failed.Load()), duration: elapsed,
		perS:  float64(granted.Load()) / elapsed.Seconds(),
		p50Ms: float64(histogram.ValueAtQuantile(50)) / 1000, p99Ms: float64(histogram.ValueAtQuantile(99)) / 1000,
	}
}

func claimOnce(claims wire.Claims, req *wire.ClaimRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	response, err := claims.Claim(ctx, req)
	if err != nil {
		return err
	}
	if response.GetState() != wire.ClaimState_CLAIM_GRANTED {
		return errors.Errorf("claim not granted: %s", response.GetState())
	}
	return nil
}

// measureClaims compares concurrent claims, which are committed in batches that
// share a disk sync, with one claim at a time, which needs its own syncs.
func measureClaims(emit func(figure.Figure)) error {
	g, err := newControlGroup(3)
	if err != nil {
		return err
	}
	defer g.close()
	single := loadClaims(g, 1, claimDuration)
	concurrent := loadClaims(g, claimClients, claimDuration)
	note := fmt.Sprintf("3 processes on one machine, synced files, %d clients, %d granted, %d failed", claimClients, concurrent.granted, concurrent.failed)
	emit(figure.Plain("control", "claimsPerSecond", concurrent.perS, "1/s").WithNote(note))
	emit(figure.Plain("control", "claimP50Ms", concurrent.p50Ms, "ms"))
	emit(figure.Plain("control", "claimP99Ms", concurrent.p99Ms, "ms"))
	emit(figure.Plain("control", "claimsPerSecondOneSyncEach", single.perS, "1/s").WithNote("one client: each claim has its syncs for itself"))
	emit(figure.Plain("control", "claimP99MsOneSyncEach", single.p99Ms, "ms"))
	emit(figure.AtLeast("control", "claimsPerSecondToOneSyncEach", concurrent.perS/single.perS, "ratio", 1))
	return nil
}
