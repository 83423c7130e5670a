// Package caller is a stand-in for callers: it asks for the addresses of a
// service, keeps the answer for its lifetime, connects there and loads it.
//
// Usage:
//
//	summary := caller.Run(ctx, caller.Config{Platforms: platforms, Service: "catalogue", Rate: 200})
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

// Config describes a load.
type Config struct {
	EntryAddresses    []string // platform listeners of entry hosts
	Service           string
	Zone              string
	Method            string
	Path              string
	Rate              float64 // requests a second, arriving at random
	Duration          time.Duration
	BodyBytes         int
	IdempotencyHeader string                                     // header that carries a fresh idempotency key
	MaxInFlight       int                                        // most requests in flight
	Progress          func(elapsed time.Duration, soFar Summary) // called each second, if set
}

// Summary counts outcomes and holds latencies in milliseconds.
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

type addressAnswer struct {
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
	spares    []string // used in their order when no active one can be reached
	freshTill time.Time
	histogram *hdrhistogram.Histogram
	summary   Summary
}

const (
	highestMicros   = 120_000_000
	significant     = 3
	requestTimeout  = 2 * time.Minute
	defaultMaxOpen  = 1000
	microsPerMs     = 1000.0
	outcomeNoAnswer = "no-answer"
)

// Run loads a service until the duration or the context ends.
func Run(ctx context.Context, cfg Config) Summary {
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultMaxOpen
	}
	l := &loader{
		cfg: cfg, histogram: hdrhistogram.New(1, highestMicros, significant),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight}},
	}
	l.summary.Outcomes = map[string]int{}
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	go l.progress(ctx)
	l.load(ctx)
	return l.result()
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
			l.cfg.Progress(time.Since(started), l.result())
		}
	}
}

func (l *loader) load(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	open := make(chan struct{}, l.cfg.MaxInFlight)
	next := time.Now()
	for {
		next = next.Add(time.Duration(rand.ExpFloat64() / l.cfg.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		open <- struct{}{}
		group.Go(func() {
			defer func() { <-open }()
			l.one()
		})
	}
}

func (l *loader) one() {
	started := time.Now()
	result, wrong := l.call()
	took := time.Since(started)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.Sent++
	l.summary.Outcomes[result]++
	if wrong {
		l.summary.WrongResponses++
	}
	_ = l.histogram.RecordValue(min(took.Microseconds(), highestMicros))
}

// call sends one request and returns its outcome, and whether the answer was
// for another request.
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
	if notConnected(err) && l.avoid(address) {
		return l.call()
	}
	if err != nil {
		return outcomeNoAnswer, false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "cut", false
	}
	result := response.Header.Get("Snipebeam-Outcome")
	if result == "answer" && response.StatusCode >= http.StatusInternalServerError {
		return "answer-error", false
	}
	return result, result == "answer" && !bytes.Contains(data, []byte(id))
}

// notConnected reports whether nothing was sent because the host could not be
// reached.
func notConnected(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

func body(n int) io.Reader {
	if n == 0 {
		return http.NoBody
	}
	return bytes.NewReader(make([]byte, n))
}

// address returns one of the addresses of the last answer, asking again when
// its lifetime has passed.
func (l *loader) address() (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.freshTill) {
		l.ask()
	}
	if len(l.active) == 0 {
		return "", errors.New("no entry host was named")
	}
	return l.active[rand.IntN(len(l.active))], nil
}

// avoid leaves out an address that could not be reached and reports whether
// another one is left.
func (l *loader) avoid(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = slices.DeleteFunc(l.active, func(one string) bool { return one == address })
	if len(l.active) == 0 && len(l.spares) > 0 {
		l.active, l.spares = l.spares[:1], l.spares[1:]
	}
	return len(l.active) > 0
}

func (l *loader) ask() {
	for _, n := range rand.Perm(len(l.cfg.EntryAddresses)) {
		answer, err := l.askOne(l.cfg.EntryAddresses[n])
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		l.active, l.spares = nil, nil
		for _, one := range answer.Addresses {
			if one.Spare {
				l.spares = append(l.spares, one.Address)
			} else {
				l.active = append(l.active, one.Address)
			}
		}
		l.freshTill = time.Now().Add(time.Duration(answer.TTLSeconds * float64(time.Second)))
		return
	}
}

func (l *loader) askOne(platform string) (*addressAnswer, error) {
	response, err := l.client.Get("http://" + platform + "/v1/addresses/" + l.cfg.Service + "?zone=" + l.cfg.Zone)
	if err != nil {
		return nil, errors.Wrap(err, "ask for addresses")
	}
	defer func() { _ = response.Body.Close() }()
	answer := &addressAnswer{}
	return answer, errors.Wrap(json.NewDecoder(response.Body).Decode(answer), "read addresses")
}

func (l *loader) result() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := func(q float64) float64 { return float64(l.histogram.ValueAtQuantile(q)) / microsPerMs }
	summary := l.summary
	summary.Outcomes = maps.Clone(l.summary.Outcomes)
	summary.P50Ms, summary.P90Ms, summary.P99Ms, summary.P999Ms = at(50), at(90), at(99), at(99.9)
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
