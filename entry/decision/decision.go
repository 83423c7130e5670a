// Package decision writes one log line for each routing and placement
// decision, off the request's path. Lines that had to be dropped are counted.
//
// Usage:
//
//	log := decision.NewLog(logger)
//	go log.Run(ctx)
//	log.Write(decision.Decision{ID: id, Kind: decision.Route, ...})
package decision

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Kind says what was decided.
type Kind string

// Kinds of decisions.
const (
	Route     Kind = "route"
	Placement Kind = "placement"
)

// queueLength is how many lines may wait to be written.
const queueLength = 8192

// Decision is one line of the decision log.
type Decision struct {
	ID       string
	Kind     Kind
	At       time.Time
	Service  string
	Method   string
	Path     string
	Caller   string
	Rule     string
	Version  uint64
	Attempt  int
	Instance string
	Reason   string
	Waited   time.Duration
	Latency  time.Duration
	Status   int
	Outcome  string
	Problem  string
	Hosts    []string // entry hosts of a placement
}

// Log writes decisions from a queue.
type Log struct {
	logger  hclog.Logger
	queue   chan Decision
	dropped atomic.Uint64
}

// NewLog returns a log that writes through the logger.
func NewLog(logger hclog.Logger) *Log {
	return &Log{logger: logger.Named("decision"), queue: make(chan Decision, queueLength)}
}

// Write queues a line, or counts it as dropped if the queue is full.
func (l *Log) Write(d Decision) {
	select {
	case l.queue <- d:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns how many lines were dropped.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Run writes queued lines until the context ends, then what is left.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case d := <-l.queue:
			l.print(d)
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	for {
		select {
		case d := <-l.queue:
			l.print(d)
		default:
			return
		}
	}
}

func (l *Log) print(d Decision) {
	if d.Kind == Placement {
		l.logger.Info("placement", "id", d.ID, "at", d.At, "service", d.Service, "caller", d.Caller, "hosts", d.Hosts, "reason", d.Reason)
		return
	}
	l.logger.Info("route",
		"id", d.ID, "at", d.At, "service", d.Service, "method", d.Method, "path", d.Path, "caller", d.Caller,
		"rule", d.Rule, "version", d.Version, "attempt", d.Attempt, "instance", d.Instance, "reason", d.Reason,
		"waitedNs", int64(d.Waited), "latencyNs", int64(d.Latency), "status", d.Status, "outcome", d.Outcome, "problem", d.Problem)
}
