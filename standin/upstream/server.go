// Package upstream simulates an instance: it has slots with a real queue,
// reports its load in each response, also to a probe, and simulates faults that
// are switched on over HTTP.
//
//	PUT /standin/faults {"slowdown": 4}   see Faults
//	GET /standin/runs                     executions by idempotency key
//	GET /standin/probe                    load report; occupies a slot for the probe's cost
//	anything else                         a request; ?bytes=N adds N bytes to the response
//
// Usage:
//
//	server := upstream.New(upstream.Config{ID: "catalogue-1", Service: "catalogue", Slots: 3, ServiceTime: 5 * time.Millisecond})
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

// Headers between an entry host and an instance.
const (
	loadHeader       = "Snipebeam-Load"
	notStartedHeader = "Snipebeam-Not-Started"
	deadlineHeader   = "Snipebeam-Deadline-Ms"
)

const (
	// crashStatus is the exit code of a simulated crash.
	crashStatus = 70
	// maxExtraBytes limits the bytes that ?bytes=N adds to a response.
	maxExtraBytes    = 1 << 30
	fillerChunkBytes = 32 << 10
)

// Config describes an instance.
type Config struct {
	ID                string
	Service           string
	Slots             int
	ServiceTime       time.Duration // mean service time of a request
	Sigma             float64       // of the lognormal service time, 0 for constant
	ProbeCost         time.Duration // time that a probe occupies a slot
	IdempotencyHeader string
	MaxQueue          int    // queued requests beyond which the instance sheds load, 0 for no limit
	Crash             func() // called on a simulated crash; ends the process if nil
}

// Server simulates one instance.
type Server struct {
	cfg    Config
	queue  *queue
	faults faultHolder
	runs   *executions
	mux    *http.ServeMux
}

// New returns the server of an instance without active faults.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, queue: newQueue(cfg.Slots), runs: newExecutions(), mux: http.NewServeMux()}
	s.mux.HandleFunc("/standin/faults", s.serveFaults)
	s.mux.HandleFunc("/standin/runs", s.runs.list)
	s.mux.HandleFunc("/standin/probe", s.probe)
	s.mux.HandleFunc("/", s.serveRequest)
	return s
}

// ServeHTTP serves requests, probes and the control paths below /standin/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Draining reports whether the instance announces that it is draining.
func (s *Server) Draining() bool { return s.faults.load().Draining }

// Cold reports whether the instance is in a cold start.
func (s *Server) Cold() bool { return s.faults.load().coldFraction(time.Now()) > 0 }

// Silent reports whether the instance sends neither responses nor announcements.
func (s *Server) Silent() bool { return s.faults.load().Silent }

// Executions returns the number of executions by idempotency key.
func (s *Server) Executions() map[string]int { return s.runs.Counts() }

func (s *Server) crash() {
	if s.cfg.Crash != nil {
		s.cfg.Crash()
		return
	}
	os.Exit(crashStatus)
}

func (s *Server) probe(w http.ResponseWriter, r *http.Request) {
	if s.faults.load().silenced(r.Context()) {
		<-r.Context().Done()
		return
	}
	if !s.queue.acquire(r.Context()) {
		return
	}
	completed := pause.For(r.Context(), s.cfg.ProbeCost)
	s.queue.release()
	if completed {
		s.setLoadHeader(w)
		w.WriteHeader(http.StatusOK)
	}
}

func (s *Server) setLoadHeader(w http.ResponseWriter) {
	w.Header().Set(loadHeader, strconv.Itoa(s.faults.load().load(s.queue.Load())))
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.load()
	switch {
	case faults.silenced(r.Context()):
		<-r.Context().Done()
	case faults.Shed:
		s.refuse(w, "shed")
	case s.cfg.MaxQueue > 0 && s.queue.Load() >= s.cfg.Slots+s.cfg.MaxQueue:
		s.refuse(w, "queue-full")
	case faults.FailFast:
		s.setLoadHeader(w)
		w.WriteHeader(http.StatusInternalServerError)
	default:
		s.run(w, r, faults)
	}
}

// refuse responds that the request was not started.
func (s *Server) refuse(w http.ResponseWriter, reason string) {
	s.setLoadHeader(w)
	w.Header().Set(notStartedHeader, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run waits for a slot, executes the request and responds within the deadline.
func (s *Server) run(w http.ResponseWriter, r *http.Request, faults *faultState) {
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !s.queue.acquire(ctx) {
		if r.Context().Err() == nil {
			s.refuse(w, "deadline")
		}
		return
	}
	size, digest, err := s.execute(ctx, r, faults)
	s.queue.release()
	s.setLoadHeader(w)
	switch {
	case r.Context().Err() != nil:
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	s.respond(w, r, size, digest)
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// execute reads the body of a request and simulates its service time. A slot
// must be held.
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
	if !pause.For(ctx, s.serviceTime(faults)) {
		return 0, 0, ctx.Err()
	}
	return size, digest.Sum64(), nil
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, size int64, digest uint64) {
	w.Header().Set("Content-Type", "application/json")
	_, err := fmt.Fprintf(w, `{"instance":%q,"method":%q,"path":%q,"request":%q,"bodyBytes":%d,"bodyDigest":"%016x"}`+"\n",
		s.cfg.ID, r.Method, r.URL.Path, r.Header.Get("Request-Id"), size, digest)
	extra, _ := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	filler := make([]byte, fillerChunkBytes)
	for remaining := min(extra, maxExtraBytes); remaining > 0 && err == nil; remaining -= fillerChunkBytes {
		_, err = w.Write(filler[:min(remaining, fillerChunkBytes)])
	}
}

func (s *Server) serviceTime(faults *faultState) time.Duration {
	mean := float64(s.cfg.ServiceTime)
	if s.cfg.Sigma > 0 {
		mean *= math.Exp(s.cfg.Sigma*rand.NormFloat64() - s.cfg.Sigma*s.cfg.Sigma/2)
	}
	return time.Duration(mean * faults.serviceTimeFactor(time.Now()))
}
