// Package upstream is a stand-in for an instance: slots with a real queue, a
// load report on each answer and on a probe, and faults that can be switched
// on over HTTP.
//
//	PUT /standin/faults {"slowdown": 4}   see Faults
//	GET /standin/runs                     executions by idempotency key
//	GET /standin/probe                    load report, takes a slot for the probe's cost
//	anything else                         a request; ?bytes=N adds N bytes to the answer
//
// Usage:
//
//	server := upstream.New(upstream.Config{ID: "catalogue-1", Service: "catalogue", Slots: 3, Work: 5 * time.Millisecond})
//	http.Serve(listener, server)
package upstream

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/snipebeam/snipebeam/world/pause"

	"github.com/cespare/xxhash/v2"
)

// Headers between the system and an instance.
const (
	loadHeader       = "Snipebeam-Load"
	notStartedHeader = "Snipebeam-Not-Started"
	deadlineHeader   = "Snipebeam-Deadline-Ms"
)

const (
	// crashStatus is the exit code of a crash that was asked for.
	crashStatus = 70
	// maxExtraBytes bounds the size of an answer.
	maxExtraBytes = 1 << 30
	fillerBytes   = 32 << 10
)

// Config describes an instance.
type Config struct {
	ID                string
	Service           string
	Slots             int
	ServiceTime       time.Duration // mean time of a request in a slot
	Sigma             float64       // of the lognormal time, 0 for constant
	ProbeCost         time.Duration // time that a probe takes in a slot
	IdempotencyHeader string
	MaxQueue          int    // requests that may wait before it sheds, 0 for any number
	Crash             func() // ends the process unless set
}

// Server is the instance.
type Server struct {
	cfg    Config
	queue  *queue
	faults faultSwitch
	runs   *executions
	mux    *http.ServeMux
}

// New returns a server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, queue: newQueue(cfg.Slots), runs: newExecutions(), mux: http.NewServeMux()}
	s.mux.HandleFunc("/standin/faults", s.switchFaults)
	s.mux.HandleFunc("/standin/runs", s.runs.list)
	s.mux.HandleFunc("/standin/probe", s.probe)
	s.mux.HandleFunc("/", s.work)
	return s
}

// ServeHTTP serves requests, probes and switches.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Draining reports whether the instance was told to drain.
func (s *Server) Draining() bool { return s.faults.load().Draining }

// Cold reports whether the instance is in a cold start.
func (s *Server) Cold() bool { return s.faults.load().coldLeft(time.Now()) > 0 }

// Silent reports whether the instance was told to say nothing.
func (s *Server) Silent() bool { return s.faults.load().Silent }

// Executions returns how often each idempotency key was run.
func (s *Server) Executions() map[string]int { return s.runs.Counts() }

func (s *Server) crash() {
	if s.cfg.Crash != nil {
		s.cfg.Crash()
		return
	}
	os.Exit(crashStatus)
}

func (s *Server) probe(w http.ResponseWriter, r *http.Request) {
	if s.faults.load().hushed(r.Context()) {
		<-r.Context().Done()
		return
	}
	if !s.queue.enter(r.Context()) {
		return
	}
	done := pause.For(r.Context(), s.cfg.ProbeCost)
	s.queue.leave()
	if done {
		s.report(w)
		w.WriteHeader(http.StatusOK)
	}
}

func (s *Server) report(w http.ResponseWriter) {
	w.Header().Set(loadHeader, strconv.Itoa(s.faults.load().load(s.queue.Load())))
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.load()
	switch {
	case faults.hushed(r.Context()):
		<-r.Context().Done()
	case faults.Shed:
		s.refuse(w, "shed")
	case s.cfg.MaxQueue > 0 && s.queue.Load() >= s.cfg.Slots+s.cfg.MaxQueue:
		s.refuse(w, "queue-full")
	case faults.FailFast:
		s.report(w)
		w.WriteHeader(http.StatusInternalServerError)
	default:
		s.run(w, r, faults)
	}
}

// refuse answers before anything was started.
func (s *Server) refuse(w http.ResponseWriter, reason string) {
	s.report(w)
	w.Header().Set(notStartedHeader, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run waits for a slot, reads the request and answers it, within its deadline.
func (s *Server) run(w http.ResponseWriter, r *http.Request, faults *faultState) {
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !s.queue.enter(ctx) {
		if r.Context().Err() == nil {
			s.refuse(w, "deadline")
		}
		return
	}
	size, digest, err := s.execute(ctx, r, faults)
	s.queue.leave()
	s.report(w)
	switch {
	case r.Context().Err() != nil:
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	s.answer(w, r, size, digest)
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// execute does the work of a request that has a slot.
func (s *Server) execute(ctx context.Context, r *http.Request, faults *faultState) (int64, uint64, error) {
	s.runs.count(r.Header.Get(s.cfg.IdempotencyHeader))
	if faults.CrashOn != "" && r.URL.Path == faults.CrashOn {
		s.crash()
	}
	digest := xxhash.New()
	size, err := io.Copy(digest, r.Body)
	if err != nil {
		return 0, 0, err
	}
	if !pause.For(ctx, s.duration(faults)) {
		return 0, 0, ctx.Err()
	}
	return size, digest.Sum64(), nil
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, size int64, digest uint64) {
	w.Header().Set("Content-Type", "application/json")
	_, err := fmt.Fprintf(w, `{"instance":%q,"method":%q,"path":%q,"request":%q,"bodyBytes":%d,"bodyDigest":"%016x"}`+"\n",
		s.cfg.ID, r.Method, r.URL.Path, r.Header.Get("Request-Id"), size, digest)
	extra, _ := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	filler := make([]byte, fillerBytes)
	for left := min(extra, maxExtraBytes); left > 0 && err == nil; left -= fillerBytes {
		_, err = w.Write(filler[:min(left, fillerBytes)])
	}
}

func (s *Server) duration(faults *faultState) time.Duration {
	mean := float64(s.cfg.ServiceTime)
	if s.cfg.Sigma > 0 {
		mean *= math.Exp(s.cfg.Sigma*rand.NormFloat64() - s.cfg.Sigma*s.cfg.Sigma/2)
	}
	return time.Duration(mean * faults.slowness(time.Now()))
}
