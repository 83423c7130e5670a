package host

import (
	"context"
	"time"

	"github.com/snipebeam/snipebeam/entry/probe"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/pause"
	"go.uber.org/fx"
)

const (
	probeInterval = 20 * time.Millisecond // interval of checks for instances that are due
	probeWindow   = time.Second           // window of the probe budget
)

// probeLoop periodically probes instances without a recent load report or
// response.
type probeLoop struct {
	planner *probe.Planner
	prober  *prober
	router  *route.Router
	cfg     *settings.Settings
}

func runProbes(lc fx.Lifecycle, cfg *settings.Settings, views *route.Views, table *rules.Table, prober *prober, router *route.Router) {
	if cfg.Probe.StaleMs == 0 {
		return
	}
	terms := func(service string) *contract.Service { return table.Current().Set().Terms(service) }
	p := &probeLoop{prober: prober, router: router, cfg: cfg}
	p.planner = probe.NewPlanner(probe.Config{
		Hosts: cfg.Probe.Hosts, Window: probeWindow, MaxDuration: milliseconds(cfg.Probe.MostMs), StaleAfter: milliseconds(cfg.Probe.StaleMs), MinRate: cfg.Probe.LeastRate,
	}, views, terms, time.Now().UnixNano())
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() { go p.run(ctx) }, cancel))
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (p *probeLoop) run(ctx context.Context) {
	for pause.For(ctx, probeInterval) {
		for _, target := range p.planner.Due(time.Now().UnixNano()) {
			go p.probe(target)
		}
	}
}

// probe probes one instance. The reservation is settled with the time that the
// instance may have spent on the probe, which is at most the reserved time.
func (p *probeLoop) probe(target probe.Target) {
	started := time.Now()
	report := p.prober.probe(target.Member)
	target.Reservation.Settle(min(time.Since(started), milliseconds(p.cfg.Probe.MostMs)))
	p.router.RecordProbe(target.Member, report)
}
