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
	probeTick   = 20 * time.Millisecond // how often instances are looked at
	probeWindow = time.Second           // over which the budget of probes holds
)

// prober asks instances for their load where no answer told of it lately.
type prober struct {
	planner *probe.Planner
	scout   *scout
	router  *route.Router
	cfg     *settings.Settings
}

func runProbes(lc fx.Lifecycle, cfg *settings.Settings, views *route.Views, table *rules.Table, scout *scout, router *route.Router) {
	if cfg.Probe.StaleMs == 0 {
		return
	}
	terms := func(service string) *contract.Service { return table.Current().Set().Terms(service) }
	p := &prober{scout: scout, router: router, cfg: cfg}
	p.planner = probe.NewPlanner(probe.Config{
		Hosts: cfg.Probe.Hosts, Window: probeWindow, MaxDuration: milliseconds(cfg.Probe.MostMs), StaleAfter: milliseconds(cfg.Probe.StaleMs), MinRate: cfg.Probe.LeastRate,
	}, views, terms, time.Now().UnixNano())
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() { go p.run(ctx) }, cancel))
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (p *prober) run(ctx context.Context) {
	for pause.For(ctx, probeTick) {
		for _, target := range p.planner.Due(time.Now().UnixNano()) {
			go p.ask(target)
		}
	}
}

// ask probes one instance. The reservation is settled by the time that the
// instance may have worked, which is at most what was set aside.
func (p *prober) ask(target probe.Target) {
	started := time.Now()
	report := p.scout.ask(target.Member)
	target.Reservation.Settle(min(time.Since(started), milliseconds(p.cfg.Probe.MostMs)))
	p.router.RecordProbe(target.Member, report)
}
