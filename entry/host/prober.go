package host

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/entry/upstream"
)

var (
	probes       = metrics.GetOrCreateCounter("snipebeam_probes_total")
	probesFailed = metrics.GetOrCreateCounter("snipebeam_probes_failed_total")
)

// probeTimeout is how long an instance may take to tell its load before it counts
// as not answering.
const probeTimeout = 400 * time.Millisecond

// prober asks instances for their load.
type prober struct {
	table   *rules.Table
	pool    *upstream.Pool
	options options
	logger  hclog.Logger
}

func newProber(table *rules.Table, links *upstream.Pool, o options, logger hclog.Logger) *prober {
	return &prober{table: table, pool: links, options: o, logger: logger.Named("probe")}
}

// routeOption lets the router ask before it sends a request, unless instances are
// asked periodically, which takes the budget of probes, or answers to probes tell
// no load.
func (s *prober) routeOption(cfg *settings.Settings) route.Option {
	if cfg.Probe.StaleMs > 0 || s.options.dialect == nil {
		return route.WithProbe(nil)
	}
	return route.WithProbe(s.probe)
}

// probe asks one instance for its load.
func (s *prober) probe(m route.Member) route.ProbeReport {
	path := s.table.Current().Set().Terms(m.Instance().Service()).Health()
	if path == "" {
		return route.ProbeReport{Answered: true}
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	report, err := s.exchange(ctx, m, path)
	probes.Inc()
	if err != nil {
		probesFailed.Inc()
		s.logger.Debug("no answer", "instance", string(m.Instance().ID()), "error", err)
		return route.ProbeReport{}
	}
	return report
}

func (s *prober) exchange(ctx context.Context, m route.Member, path string) (report route.ProbeReport, err error) {
	address := m.Instance().Address()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return report, err
	}
	exchange, err := s.pool.Send(ctx, address, req)
	if err != nil {
		return report, err
	}
	defer exchange.Close()
	if _, err := io.Copy(io.Discard, exchange); err != nil {
		return report, err
	}
	response := exchange.Response()
	report.Answered = true
	report.Healthy = response.StatusCode == http.StatusOK
	s.options.addLoad(&report, response.Header)
	return report, nil
}
