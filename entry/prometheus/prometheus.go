// Package prometheus writes this host's metrics in the Prometheus text format.
// The number of series is bounded: a few per service that this host serves, three
// per instance, and one per outcome that occurred.
//
// Usage:
//
//	exporter := prometheus.New(prometheus.Config{...})
//	exporter.Write(w)
package prometheus

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Config holds the sources that are read at each scrape.
type Config struct {
	Table     *rules.Table
	Views     *route.Views
	Backlog   *backlog.Tracker
	Decisions *decision.Log
	State     func() string // "starting", "ready", "draining" or "left"
}

// Exporter writes metrics.
type Exporter struct {
	cfg Config
}

// New returns an exporter.
func New(cfg Config) *Exporter { return &Exporter{cfg: cfg} }

// Write writes all metrics: those of this host, those registered by packages, and
// those of the process.
func (e *Exporter) Write(w io.Writer) {
	e.writeHost(w)
	for _, line := range e.cfg.Backlog.Services(time.Now()) {
		writeBacklog(w, line)
	}
	for _, view := range e.cfg.Views.All() {
		writeInstances(w, view)
	}
	metrics.WritePrometheus(w, true)
}

func (e *Exporter) writeHost(w io.Writer) {
	ready := uint64(0)
	if state := e.cfg.State(); state == placement.StateReady || state == placement.StateIsolated {
		ready = 1
	}
	metrics.WriteGaugeUint64(w, "snipebeam_host_ready", ready)
	metrics.WriteGaugeUint64(w, "snipebeam_rules_version", e.cfg.Table.Current().Number())
	if at := e.cfg.Table.ConfirmedAt(); !at.IsZero() {
		metrics.WriteGaugeFloat64(w, "snipebeam_rules_confirmed_timestamp_seconds", float64(at.UnixNano())/float64(time.Second))
	}
	metrics.WriteCounterUint64(w, "snipebeam_decision_lines_dropped_total", e.cfg.Decisions.Dropped())
}

func writeBacklog(w io.Writer, line *wire.ServiceBacklog) {
	growing := uint64(0)
	if line.GetGrowing() {
		growing = 1
	}
	if line.GetInstance() != "" {
		label := fmt.Sprintf(`{service=%q,instance=%q}`, line.GetService(), line.GetInstance())
		metrics.WriteGaugeUint64(w, "snipebeam_instance_backlog_growing"+label, growing)
		return
	}
	label := fmt.Sprintf(`{service=%q}`, line.GetService())
	gauge := func(name string, value float64) { metrics.WriteGaugeFloat64(w, "snipebeam_"+name+label, value) }
	gauge("requests_queued", float64(line.GetQueued()))
	gauge("requests_in_flight", float64(line.GetInFlight()))
	gauge("oldest_request_age_seconds", seconds(line.GetOldestNs()))
	gauge("arrivals_per_second", line.GetArrivalsPerS())
	gauge("completions_per_second", line.GetCompletionsPerS())
	gauge("errors_per_second", line.GetErrorsPerS())
	metrics.WriteGaugeUint64(w, "snipebeam_backlog_growing"+label, growing)
	writeQuantiles(w, line)
}

func writeQuantiles(w io.Writer, line *wire.ServiceBacklog) {
	for _, q := range []struct {
		name string
		ns   int64
	}{{"0.5", line.GetP50Ns()}, {"0.99", line.GetP99Ns()}, {"0.999", line.GetP999Ns()}} {
		label := fmt.Sprintf(`{service=%q,quantile=%q}`, line.GetService(), q.name)
		metrics.WriteGaugeFloat64(w, "snipebeam_answer_duration_seconds"+label, seconds(q.ns))
	}
}

func writeInstances(w io.Writer, view *route.View) {
	for _, m := range view.Members() {
		i := m.Instance()
		label := fmt.Sprintf(`{service=%q,instance=%q}`, i.Service(), string(i.ID()))
		metrics.WriteGaugeUint64(w, "snipebeam_instance_in_flight"+label, uint64(max(m.Load().InFlight(), 0)))
		metrics.WriteGaugeUint64(w, "snipebeam_instance_slots"+label, uint64(i.Slots()))
		if limit := m.Load().RateLimit(); limit.Limited() {
			metrics.WriteGaugeFloat64(w, "snipebeam_instance_rate_limit"+label, limit.PerSecond())
		}
		if now := time.Now().UnixNano(); m.ColdUntil(now) > now {
			metrics.WriteGaugeUint64(w, "snipebeam_instance_cold"+label, 1)
		}
		draining := uint64(0)
		if i.Draining() {
			draining = 1
		}
		metrics.WriteGaugeUint64(w, "snipebeam_instance_draining"+label, draining)
	}
}

func seconds(ns int64) float64 { return float64(ns) / float64(time.Second) }
