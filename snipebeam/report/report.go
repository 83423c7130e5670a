// Package report renders the logs of entry hosts over a time span as one
// self-contained HTML page: latency percentiles, rates, backlog, probes and
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

// bucketCount is the number of points in each series.
const bucketCount = 120

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// outcomeAnswer is the outcome of a request that was answered.
const outcomeAnswer = "answer"

// logLine holds the fields of a log line that the report uses.
type logLine struct {
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

// request is one logged request.
type request struct {
	at       time.Time
	service  string
	latency  time.Duration
	answered bool
}

// Event is a rule change or a backlog alarm.
type Event struct {
	At   time.Time
	Text string
}

// History holds the entries read from log files.
type History struct {
	from        time.Time
	to          time.Time
	service     string
	requests    []request
	backlog     []point
	probes      []time.Time
	ruleChanges map[uint64]Event // by version: when the first host put it in force
	alarms      []Event
	skipped     int
	lines       int
}

type point struct {
	at    time.Time
	value float64
}

// NewHistory returns an empty history of a time span. A zero time leaves that
// end of the span open; an empty service selects all services.
func NewHistory(from, to time.Time, service string) *History {
	return &History{from: from, to: to, service: service, ruleChanges: map[uint64]Event{}}
}

// Read adds the entries of one log file. Lines that are not valid JSON are
// skipped and counted.
func (h *History) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		var entry logLine
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			h.skipped++
			continue
		}
		h.lines++
		h.add(&entry)
	}
	return errors.Wrap(scanner.Err(), "read log")
}

// Empty reports whether no request in the time span was read.
func (h *History) Empty() bool { return len(h.requests) == 0 }

func (h *History) add(entry *logLine) {
	if !h.inSpan(entry.At) {
		return
	}
	switch entry.Message {
	case "route":
		h.addRequest(entry)
	case "backlog grows", "backlog cleared":
		h.addBacklog(entry)
	case "probe":
		h.probes = append(h.probes, entry.At)
	case "version in force":
		h.addRuleChange(entry)
	}
}

func (h *History) inSpan(at time.Time) bool {
	return (h.from.IsZero() || !at.Before(h.from)) && (h.to.IsZero() || !at.After(h.to))
}

func (h *History) matchesService(service string) bool { return h.service == "" || h.service == service }

func (h *History) addRequest(entry *logLine) {
	d := entry.Decision
	if d == nil || !h.matchesService(d.Service) {
		return
	}
	h.requests = append(h.requests, request{
		at: d.At, service: d.Service, latency: time.Duration(d.LatencyNs + d.WaitedNs), answered: d.Outcome == outcomeAnswer,
	})
}

func (h *History) addBacklog(entry *logLine) {
	if !h.matchesService(entry.Service) {
		return
	}
	h.backlog = append(h.backlog, point{at: entry.At, value: entry.Present})
	text := entry.Message + ": " + entry.Service + " " + entry.Instance + " (" + entry.Cause + "), owner " + entry.Owner
	h.alarms = append(h.alarms, Event{At: entry.At, Text: text})
}

func (h *History) addRuleChange(entry *logLine) {
	first, seen := h.ruleChanges[entry.Version]
	if seen && !entry.At.Before(first.At) {
		return
	}
	h.ruleChanges[entry.Version] = Event{At: entry.At, Text: versionText(entry.Version, entry.Author)}
}

// Events returns the rule changes and backlog alarms in chronological order.
func (h *History) Events() []Event {
	events := append([]Event(nil), h.alarms...)
	for _, event := range h.ruleChanges {
		events = append(events, event)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].At.Before(events[j].At) })
	return events
}
