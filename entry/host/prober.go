package host

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/isolation"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/entry/upstream"
)

var (
	probes       = metrics.GetOrCreateCounter("snipebeam_probes_total")
	probesFailed = metrics.GetOrCreateCounter("snipebeam_probes_failed_total")
)

const (
	// probeTimeout is the time after which a probe without a response counts as failed.
	probeTimeout = 400 * time.Millisecond
	// maxProbeBytes limits the body of a probe's response.
	maxProbeBytes = 16 << 10
)

var (
	errProbeTooLarge = errors.New("response body too large for a probe")
	errOtherInstance = errors.New("response does not name the instance that was probed")
)

// prober requests the load of instances at their health path.
type prober struct {
	table   *rules.Table
	pool    *upstream.Pool
	options options
	reach   *isolation.Detector
	logger  hclog.Logger
}

func newProber(table *rules.Table, pool *upstream.Pool, o options, reach *isolation.Detector, logger hclog.Logger) *prober {
	return &prober{table: table, pool: pool, options: o, reach: reach, logger: logger.Named("probe")}
}

// routeOption lets the router probe instances before it dispatches a request. It
// disables this if instances are probed periodically, which uses up the probe
// budget, or if there is no dialect, without which responses carry no load.
func (p *prober) routeOption(cfg *settings.Settings) route.Option {
	if cfg.Probe.StaleMs > 0 || p.options.dialect == nil {
		return route.WithProbe(nil)
	}
	return route.WithProbe(p.probe)
}

// probe requests the load of one instance.
func (p *prober) probe(m route.Member) route.ProbeReport {
	path := p.table.Current().Set().Terms(m.Instance().Service()).Health()
	if path == "" {
		return route.ProbeReport{Answered: true}
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	report, err := p.exchange(ctx, m, path)
	probes.Inc()
	if err != nil {
		probesFailed.Inc()
		p.reach.SuspectLink()
		p.logger.Debug("instance did not respond", "instance", string(m.Instance().ID()), "error", err)
		return route.ProbeReport{}
	}
	p.reach.Contact()
	return report
}

func (p *prober) exchange(ctx context.Context, m route.Member, path string) (report route.ProbeReport, err error) {
	address := m.Instance().Address()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return report, err
	}
	exchange, err := p.pool.Send(ctx, address, req, p.sendOptions(m)...)
	if err != nil {
		return report, err
	}
	defer exchange.Close()
	size, err := io.Copy(io.Discard, io.LimitReader(exchange, maxProbeBytes+1))
	if err != nil {
		return report, err
	}
	if size > maxProbeBytes {
		return report, errProbeTooLarge
	}
	response := exchange.Response()
	report.Answered = true
	report.Healthy = response.StatusCode == http.StatusOK
	p.options.addLoad(&report, response.Header)
	return report, nil
}

// sendOptions makes a probe fail whose response does not name the instance, if the dialect has a
// header for it: another instance may use the address by now, or the response may be a late one
// to a request on the same link.
func (p *prober) sendOptions(m route.Member) []upstream.SendOption {
	if p.options.dialect == nil || p.options.dialect.InstanceID == "" {
		return nil
	}
	return []upstream.SendOption{upstream.WithValidation(func(response *http.Response) error {
		if ids := response.Header.Values(p.options.dialect.InstanceID); len(ids) != 1 || ids[0] != string(m.Instance().ID()) {
			return errOtherInstance
		}
		return nil
	})}
}
