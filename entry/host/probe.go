package host

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/probe"
	"github.com/snipebeam/snipebeam/entry/registry"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/pause"
	"go.uber.org/fx"
)

var (
	probes       = metrics.GetOrCreateCounter("snipebeam_probes_total")
	probesFailed = metrics.GetOrCreateCounter("snipebeam_probes_failed_total")
)

const (
	probeTick   = 20 * time.Millisecond  // how often instances are looked at
	probeLimit  = 400 * time.Millisecond // after which an instance counts as not answering
	probeWindow = time.Second            // over which the budget of probes holds
)

// prober asks instances for their load where no answer told of it lately.
type prober struct {
	planner *probe.Planner
	table   *rules.Table
	links   *upstream.Pool
	router  *route.Router
	o       options
	cfg     *settings.Settings
	logger  hclog.Logger
}

func runProbes(lc fx.Lifecycle, cfg *settings.Settings, o options, views *route.Views, table *rules.Table, links *upstream.Pool, router *route.Router, members *registry.Membership, logger hclog.Logger) {
	if cfg.Probe.StaleMs == 0 {
		return
	}
	terms := func(service string) *contract.Service { return table.Current().Set().Terms(service) }
	p := &prober{table: table, links: links, router: router, o: o, cfg: cfg, logger: logger.Named("probe")}
	p.planner = probe.NewPlanner(probe.Settings{
		Hosts: cfg.Probe.Hosts, Window: probeWindow, Most: milliseconds(cfg.Probe.MostMs), Stale: milliseconds(cfg.Probe.StaleMs), Least: cfg.Probe.LeastRate,
		Part: members.Probed,
	}, views, terms, time.Now().UnixNano())
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() { go p.run(ctx) }, cancel))
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (p *prober) run(ctx context.Context) {
	for pause.For(ctx, probeTick) {
		for _, target := range p.planner.Due(time.Now().UnixNano()) {
			path := p.table.Current().Set().Terms(target.Member.Instance().Service()).Health()
			if path == "" {
				target.Reservation.Settle(0)
				continue
			}
			go p.ask(ctx, target, path)
		}
	}
}

// ask probes one instance. The reservation is settled by the time that the
// instance may have worked, which is at most what was set aside.
func (p *prober) ask(ctx context.Context, target probe.Target, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	started := time.Now()
	report, healthy, err := p.exchange(ctx, target, path)
	target.Reservation.Settle(min(time.Since(started), milliseconds(p.cfg.Probe.MostMs)))
	probes.Inc()
	if err != nil {
		probesFailed.Inc()
		p.logger.Debug("no answer", "instance", string(target.Member.Instance().ID()), "error", err)
	}
	p.router.Probed(target.Member, route.ProbeReport{
		Answered: err == nil, Healthy: healthy, Told: report.told, Requests: report.requests, Speed: report.speed,
	})
}

type probeAnswer struct {
	told     bool
	requests int
	speed    float64
}

func (p *prober) exchange(ctx context.Context, target probe.Target, path string) (answer probeAnswer, healthy bool, err error) {
	address := target.Member.Instance().Address()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return answer, false, err
	}
	exchange, err := p.links.Send(ctx, address, req)
	if err != nil {
		return answer, false, err
	}
	defer exchange.Close()
	if _, err := io.Copy(io.Discard, exchange); err != nil {
		return answer, false, err
	}
	response := exchange.Response()
	if load := p.o.load(response.Header); load != nil {
		answer = *load
	}
	return answer, response.StatusCode == http.StatusOK, nil
}
