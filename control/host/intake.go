package host

import (
	"context"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/control/settings"
	"github.com/snipebeam/snipebeam/world/intake"
	"github.com/snipebeam/snipebeam/world/message"
	"go.uber.org/fx"
)

// What a request holds while it is handled, and a scrape, which is written to memory
// first.
const (
	requestBytes = 64 << 10
	scrapeBytes  = 256 << 10
	// messageCost is what a byte of a message takes: it is read into a buffer that grows,
	// and decoded from there.
	messageCost = 4
	// messageShare divides the budget: the bytes of one message between hosts are charged
	// at most this part of it, because a snapshot of the state is one message, and would
	// never be received if its charge exceeded the budget.
	messageShare = 2
)

func newBudget(lc fx.Lifecycle, cfg *settings.Settings) *intake.Budget {
	memory := intake.Memory(int64(cfg.Limits.MemoryMB) << 20)
	budget := intake.NewBudget(intake.BytesOf(memory), intake.Connections(cfg.Limits.Connections), intake.WithObserver(countIntake))
	metrics.GetOrCreateGauge("snipebeam_intake_bytes", func() float64 {
		bytes, _ := budget.Held()
		return float64(bytes)
	})
	metrics.GetOrCreateGauge("snipebeam_intake_connections", func() float64 {
		_, connections := budget.Held()
		return float64(connections)
	})
	for _, reason := range intake.Reasons() {
		intakeCounter(reason)
	}
	lc.Append(fx.StartHook(func(context.Context) { intake.LimitRuntime(memory) }))
	return budget
}

// counted charges the entries of a message before it is decoded.
func counted(next http.Handler) http.Handler {
	return intake.Counted(next, message.Entries, message.EntryBytes)
}

func intakeCounter(reason intake.Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("snipebeam_intake_cut_total{reason=%q}", string(reason)))
}

func countIntake(reason intake.Reason) { intakeCounter(reason).Inc() }

// messageIntake bounds requests whose bodies are read whole, and scrapes.
func messageIntake(cfg *settings.Settings) intake.Limits {
	return intake.Limits{HeadLines: cfg.Limits.HeaderLines, Request: requestBytes, Extra: extraBytes, BodyCost: messageCost}
}

// extraBytes returns what a scrape holds beyond another request.
func extraBytes(r *http.Request) int64 {
	if r.URL.Path != metricsPath {
		return 0
	}
	return scrapeBytes - requestBytes
}

// peerIntake bounds messages of other hosts, which may be large and come over a slow
// network, so that they have no time limit as a whole.
func peerIntake(cfg *settings.Settings) intake.Limits {
	limits := messageIntake(cfg)
	limits.BodyTimeout = readTimeout
	limits.MaxBody = intake.BytesOf(intake.Memory(int64(cfg.Limits.MemoryMB)<<20)) / messageShare
	return limits
}
