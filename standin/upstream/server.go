// Package upstream is a stand-in for an instance: slots with a real queue, a
// load report on each answer, and faults that can be switched on over HTTP.
//
// Usage:
//
//	server := upstream.New(upstream.Config{ID: "catalogue-1", Service: "catalogue", Slots: 3, Work: 5 * time.Millisecond})
//	http.Serve(listener, server)
package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config describes an instance.
type Config struct {
	ID         string
	Service    string
	Slots      int
	Work       time.Duration // mean time of a request in a slot
	Sigma      float64       // of the lognormal time, 0 for constant
	ProbeCost  time.Duration // time that a probe takes in a slot
	OnceHeader string
}

// Faults are switched over HTTP with PUT /standin/faults.
type Faults struct {
	Slowdown float64 `json:"slowdown"` // factor on the time of a request, 0 and 1 for none
	Shed     bool    `json:"shed"`     // refuse before starting
	FailFast bool    `json:"failFast"` // answer 500 at once
	Silent   bool    `json:"silent"`   // accept and never answer
	Lie      *int    `json:"lie"`      // reported load, whatever the real one
	Draining bool    `json:"draining"`
}

// Server is the instance.
type Server struct {
	cfg    Config
	slots  chan struct{}
	queued atomic.Int64 // in service and waiting

	mu     sync.Mutex
	faults Faults
	runs   map[string]int // executions by idempotency key
}

// New returns a server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, slots: make(chan struct{}, cfg.Slots), runs: map[string]int{}}
}

// Draining reports whether the instance was told to drain.
func (s *Server) Draining() bool { return s.current().Draining }

func (s *Server) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// ServeHTTP serves requests, probes and switches.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/standin/faults":
		s.setFaults(w, r)
	case "/standin/runs":
		s.listRuns(w)
	case "/standin/probe":
		s.probe(w, r)
	default:
		s.work(w, r)
	}
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) listRuns(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The reader has gone if this fails.
	_ = json.NewEncoder(w).Encode(s.runs)
}

func (s *Server) probe(w http.ResponseWriter, r *http.Request) {
	if !s.occupy(r, s.cfg.ProbeCost) {
		return
	}
	s.report(w, s.current())
	w.WriteHeader(http.StatusOK)
}

func (s *Server) report(w http.ResponseWriter, faults Faults) {
	load := int(s.queued.Load())
	if faults.Lie != nil {
		load = *faults.Lie
	}
	w.Header().Set("Snipebeam-Load", strconv.Itoa(load))
}

// occupy waits for a slot and holds it for a time. It returns false if the
// caller gave up.
func (s *Server) occupy(r *http.Request, d time.Duration) bool {
	s.queued.Add(1)
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-s.slots }()
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	faults := s.current()
	switch {
	case faults.Silent:
		<-r.Context().Done()
		return
	case faults.Shed:
		s.report(w, faults)
		w.Header().Set("Snipebeam-Not-Started", "shed")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case faults.FailFast:
		s.report(w, faults)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.count(r)
	digest := xxhash.New()
	size, err := io.Copy(digest, r.Body)
	if err != nil || !s.occupy(r, s.duration(faults)) {
		return
	}
	s.report(w, s.current())
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"instance":%q,"method":%q,"path":%q,"request":%q,"bodyBytes":%d,"bodyDigest":"%016x"}`+"\n",
		s.cfg.ID, r.Method, r.URL.Path, r.Header.Get("Request-Id"), size, digest.Sum64())
}

func (s *Server) count(r *http.Request) {
	key := r.Header.Get(s.cfg.OnceHeader)
	if key == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
}

func (s *Server) duration(faults Faults) time.Duration {
	mean := float64(s.cfg.Work)
	if s.cfg.Sigma > 0 {
		mean *= math.Exp(s.cfg.Sigma*rand.NormFloat64() - s.cfg.Sigma*s.cfg.Sigma/2)
	}
	if faults.Slowdown > 0 {
		mean *= faults.Slowdown
	}
	return time.Duration(mean)
}
