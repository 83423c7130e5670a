// Package caller simulates callers: it resolves the addresses of a service,
// caches the response for its TTL and sends requests at a given rate.
//
// Usage:
//
//	summary := caller.Run(ctx, caller.Config{EntryAddresses: addresses, Service: "catalogue", Rate: 200})
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Config describes the load to generate.
type Config struct {
	EntryAddresses    []string // platform listeners of entry hosts
	Service           string
	Zone              string
	Method            string
	Path              string
	Rate              float64 // mean requests per second, with Poisson arrivals
	Duration          time.Duration
	BodyBytes         int
	IdempotencyHeader string                                     // header that carries a new idempotency key
	MaxInFlight       int                                        // limit of requests in flight, 0 for the default
	Progress          func(elapsed time.Duration, soFar Summary) // called each second, if set
}

// Summary holds outcome counts and latency quantiles in milliseconds.
type Summary struct {
	Outcomes       map[string]int `json:"outcomes"`
	Sent           int            `json:"sent"`
	P50Ms          float64        `json:"p50Ms"`
	P90Ms          float64        `json:"p90Ms"`
	P99Ms          float64        `json:"p99Ms"`
	P999Ms         float64        `json:"p999Ms"`
	MaxMs          float64        `json:"maxMs"`
	WrongResponses int            `json:"wrongAnswers"`
}

type addressResponse struct {
	TTLSeconds float64 `json:"ttlSeconds"`
	Addresses  []struct {
		Address string `json:"address"`
		Spare   bool   `json:"spare"`
	} `json:"addresses"`
}

type loader struct {
	cfg    Config
	client *http.Client

	mu        sync.Mutex
	active    []string
	spares    []string // used in order when no active address is reachable
	expiresAt time.Time
	histogram *hdrhistogram.Histogram
	summary   Summary
}

const (
	maxLatencyMicros   = 120_000_000
	significantDigits  = 3
	requestTimeout     = 2 * time.Minute
	defaultMaxInFlight = 1000
	microsPerMs        = 1000.0
	outcomeNoResponse  = "no-answer"
)

// Run sends requests to a service until the duration has passed or the context
// is cancelled.
func Run(ctx context.Context, cfg Config) Summary {
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	l := &loader{
		cfg: cfg, histogram: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight}},
	}
	l.summary.Outcomes = map[string]int{}
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	go l.progress(ctx)
	l.load(ctx)
	return l.snapshot()
}

// progressInterval is the time between two calls of Config.Progress.
const progressInterval = time.Second

func (l *loader) progress(ctx context.Context) {
	if l.cfg.Progress == nil {
		return
	}
	started := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.cfg.Progress(time.Since(started), l.snapshot())
		}
	}
}

func (l *loader) load(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	inFlight := make(chan struct{}, l.cfg.MaxInFlight)
	nextArrival := time.Now()
	for {
		nextArrival = nextArrival.Add(time.Duration(rand.ExpFloat64() / l.cfg.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(nextArrival)):
		}
		inFlight <- struct{}{}
		group.Go(func() {
			defer func() { <-inFlight }()
			l.sendOne()
		})
	}
}

func (l *loader) sendOne() {
	started := time.Now()
	outcome, wrong := l.call()
	took := time.Since(started)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.Sent++
	l.summary.Outcomes[outcome]++
	if wrong {
		l.summary.WrongResponses++
	}
	_ = l.histogram.RecordValue(min(took.Microseconds(), maxLatencyMicros))
}

// call sends one request and returns its outcome, and whether the response
// belonged to another request.
func (l *loader) call() (string, bool) {
	address, err := l.address()
	if err != nil {
		return "no-address", false
	}
	req, err := http.NewRequest(l.cfg.Method, "http://"+address+l.cfg.Path, body(l.cfg.BodyBytes))
	if err != nil {
		return "bad-request", false
	}
	id := uuid.NewString()
	req.Host = l.cfg.Service
	req.Header.Set("Request-Id", id)
	if l.cfg.IdempotencyHeader != "" {
		req.Header.Set(l.cfg.IdempotencyHeader, id)
	}
	response, err := l.client.Do(req)
	if dialFailed(err) && l.dropAddress(address) {
		return l.call()
	}
	if err != nil {
		return outcomeNoResponse, false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "cut", false
	}
	outcome := response.Header.Get("Snipebeam-Outcome")
	if outcome == "answer" && response.StatusCode >= http.StatusInternalServerError {
		return "answer-error", false
	}
	return outcome, outcome == "answer" && !bytes.Contains(data, []byte(id))
}

// dialFailed reports whether the connection could not be opened, so that
// nothing was sent.
func dialFailed(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

func body(n int) io.Reader {
	if n == 0 {
		return http.NoBody
	}
	return bytes.NewReader(make([]byte, n))
}

// address returns a random active address and refreshes the cached addresses
// when their TTL has expired.
func (l *loader) address() (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.expiresAt) {
		l.refreshAddresses()
	}
	if len(l.active) == 0 {
		return "", errors.New("no entry host address available")
	}
	return l.active[rand.IntN(len(l.active))], nil
}

// dropAddress removes an unreachable address and reports whether another one
// is left.
func (l *loader) dropAddress(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = slices.DeleteFunc(l.active, func(other string) bool { return other == address })
	if len(l.active) == 0 && len(l.spares) > 0 {
		l.active, l.spares = l.spares[:1], l.spares[1:]
	}
	return len(l.active) > 0
}

func (l *loader) refreshAddresses() {
	for _, n := range rand.Perm(len(l.cfg.EntryAddresses)) {
		response, err := l.fetchAddresses(l.cfg.EntryAddresses[n])
		if err != nil || len(response.Addresses) == 0 {
			continue
		}
		l.active, l.spares = nil, nil
		for _, entry := range response.Addresses {
			if entry.Spare {
				l.spares = append(l.spares, entry.Address)
			} else {
				l.active = append(l.active, entry.Address)
			}
		}
		l.expiresAt = time.Now().Add(time.Duration(response.TTLSeconds * float64(time.Second)))
		return
	}
}

func (l *loader) fetchAddresses(entryAddress string) (*addressResponse, error) {
	response, err := l.client.Get("http://" + entryAddress + "/v1/addresses/" + l.cfg.Service + "?zone=" + l.cfg.Zone)
	if err != nil {
		return nil, errors.Wrap(err, "request addresses")
	}
	defer func() { _ = response.Body.Close() }()
	addresses := &addressResponse{}
	return addresses, errors.Wrap(json.NewDecoder(response.Body).Decode(addresses), "decode addresses")
}

func (l *loader) snapshot() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	quantile := func(q float64) float64 { return float64(l.histogram.ValueAtQuantile(q)) / microsPerMs }
	summary := l.summary
	summary.Outcomes = maps.Clone(l.summary.Outcomes)
	summary.P50Ms, summary.P90Ms, summary.P99Ms, summary.P999Ms = quantile(50), quantile(90), quantile(99), quantile(99.9)
	summary.MaxMs = float64(l.histogram.Max()) / microsPerMs
	return summary
}

// String returns the summary on one line.
func (s Summary) String() string {
	var outcomes []string
	for _, name := range slices.Sorted(maps.Keys(s.Outcomes)) {
		outcomes = append(outcomes, fmt.Sprintf("%s %d", name, s.Outcomes[name]))
	}
	return fmt.Sprintf("sent %d: %s, wrong answers %d; p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, max %.1f ms",
		s.Sent, strings.Join(outcomes, ", "), s.WrongResponses, s.P50Ms, s.P90Ms, s.P99Ms, s.P999Ms, s.MaxMs)
}
