package virtual

import (
	"time"

	"github.com/snipebeam/snipebeam/entry/probe"
	"github.com/snipebeam/snipebeam/world/contract"
)

// Probe settings.
const (
	probeInterval     = int64(20 * time.Millisecond)
	probeBudgetWindow = time.Minute
	probeMaxDuration  = 20 * time.Millisecond
	probeStaleAfter   = 50 * time.Millisecond
	hostUptime        = int64(time.Hour) // of the hosts when the scenario starts
)

// startProbes schedules the real probe planner on every host, if the scenario has
// a probe budget.
func (sim *simulation) startProbes() {
	if sim.scenario.ProbeBudget == 0 {
		return
	}
	probed := contract.NewService(service, contract.WithProbeBudget(sim.scenario.ProbeBudget))
	cfg := probe.Config{Hosts: sim.scenario.Hosts, Window: probeBudgetWindow, MaxDuration: probeMaxDuration, StaleAfter: probeStaleAfter}
	for _, h := range sim.hosts {
		planner := probe.NewPlanner(cfg, h.views, func(string) *contract.Service { return probed }, epoch-hostUptime)
		var tick func()
		tick = func() {
			for _, target := range planner.Due(epoch + sim.clock.now) {
				sim.probe(h, target)
			}
			if sim.clock.now < int64(sim.scenario.Duration) {
				sim.clock.after(probeInterval, tick)
			}
		}
		sim.clock.at(0, tick)
	}
}

// probe occupies a slot of the instance for ProbeCost and records the load that
// it reports.
func (sim *simulation) probe(h *host, target probe.Target) {
	n := sim.instanceIndex(h, target.Member.Instance().ID())
	u := sim.upstreams[n]
	sentAt := sim.clock.now
	sim.clock.after(sim.delay(h, n), func() {
		u.serve(float64(sim.scenario.ProbeCost)*u.rate(), func(reported int) {
			if sim.result.isMeasured(sim.clock.now) {
				sim.result.ProbeNs += float64(sim.scenario.ProbeCost)
			}
			sim.clock.after(sim.delay(h, n), func() {
				target.Reservation.Settle(time.Duration(sim.clock.now - sentAt))
				target.Member.Load().RecordProbe(reported, 0, epoch+sim.clock.now)
			})
		})
	})
}
