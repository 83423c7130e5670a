// Package report draws what entry hosts logged over a span of time as one HTML
// page that needs no network: latency percentiles, rates, backlog, probes and
// rule changes on the same time axis.
//
// Usage:
//
//	history := report.NewHistory(from, to, "")
//	err := history.Read(logFile)
//	err = history.WritePage(out)
package report

import (
	"bufio"
	"encoding/json"
	"io"
	"sort"
	"time"

	"github.com/pkg/errors"
)

// buckets is how many points each series has.
const buckets = 120

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// outcomeAnswer is the outcome of a request that was answered.
const outcomeAnswer = "answer"

// line is one log line, as far as the report needs it.
type line struct {
	At       time.Time `json:"@timestamp"`
	Message  string    `json:"@message"`
	Service  string    `json:"service"`
	Owner    string    `json:"owner"`
	Instance string    `json:"instance"`
	Cause    string    `json:"cause"`
	Present  float64   `json:"present"`
	Version  uint64    `json:"version"`
	Author   string    `json:"author"`
	Decision *decision `json:"decision"`
}

type decision struct {
	At        time.Time `json:"at"`
	Service   string    `json:"service"`
	Outcome   string    `json:"outcome"`
	LatencyNs int64     `json:"latencyNs"`
	WaitedNs  int64     `json:"waitedNs"`
}

// request is one request that was logged.
type request struct {
	at       time.Time
	service  string
	latency  time.Duration
	answered bool
}

// Event is something that happened at a moment.
type Event struct {
	At   time.Time
	Text string
}

// History holds what was read from log files.
type History struct {
	from     time.Time
	to       time.Time
	service  string
	requests []request
	backlog  []point
	probes   []time.Time
	changes  map[uint64]Event // the first host that put a version in force
	growths  []Event
	skipped  int
	lines    int
}

type point struct {
	at    time.Time
	value float64
}

// NewHistory returns an empty history of a span; zero times leave it open, an
// empty service takes all.
func NewHistory(from, to time.Time, service string) *History {
	return &History{from: from, to: to, service: service, changes: map[uint64]Event{}}
}

// Read adds one log file. Lines that cannot be read are counted.
func (h *History) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		var one line
		if err := json.Unmarshal(scanner.Bytes(), &one); err != nil {
			h.skipped++
			continue
		}
		h.lines++
		h.add(&one)
	}
	return errors.Wrap(scanner.Err(), "read log")
}

// Empty reports whether no request of the span was read.
func (h *History) Empty() bool { return len(h.requests) == 0 }

func (h *History) add(one *line) {
	if !h.covers(one.At) {
		return
	}
	switch one.Message {
	case "route":
		h.addRequest(one)
	case "backlog grows", "backlog cleared":
		h.addBacklog(one)
	case "probe":
		h.probes = append(h.probes, one.At)
	case "version in force":
		h.addChange(one)
	}
}

func (h *History) covers(at time.Time) bool {
	return (h.from.IsZero() || !at.Before(h.from)) && (h.to.IsZero() || !at.After(h.to))
}

func (h *History) wants(service string) bool { return h.service == "" || h.service == service }

func (h *History) addRequest(one *line) {
	d := one.Decision
	if d == nil || !h.wants(d.Service) {
		return
	}
	h.requests = append(h.requests, request{
		at: d.At, service: d.Service, latency: time.Duration(d.LatencyNs + d.WaitedNs), answered: d.Outcome == outcomeAnswer,
	})
}

func (h *History) addBacklog(one *line) {
	if !h.wants(one.Service) {
		return
	}
	h.backlog = append(h.backlog, point{at: one.At, value: one.Present})
	text := one.Message + ": " + one.Service + " " + one.Instance + " (" + one.Cause + "), owner " + one.Owner
	h.growths = append(h.growths, Event{At: one.At, Text: text})
}

func (h *History) addChange(one *line) {
	first, seen := h.changes[one.Version]
	if seen && !one.At.Before(first.At) {
		return
	}
	h.changes[one.Version] = Event{At: one.At, Text: versionText(one.Version, one.Author)}
}

// Events returns rule changes and backlog alarms in order of time.
func (h *History) Events() []Event {
	all := append([]Event(nil), h.growths...)
	for _, change := range h.changes {
		all = append(all, change)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}
