package virtual

import (
	"time"

	"github.com/snipebeam/snipebeam/entry/probe"
	"github.com/snipebeam/snipebeam/world/contract"
)

// Times of probes.
const (
	probeInterval = int64(20 * time.Millisecond)
	probeWindow   = time.Minute
	probeMost     = 20 * time.Millisecond
	probeStale    = 50 * time.Millisecond
	hostsRunFor   = int64(time.Hour) // before the scenario starts
)

// startProbes runs the real planner on every host.
func (f *fleet) startProbes() {
	if f.scenario.ProbeBudget == 0 {
		return
	}
	terms := contract.NewService(service, contract.WithProbeBudget(f.scenario.ProbeBudget))
	settings := probe.Config{Hosts: f.scenario.Hosts, Window: probeWindow, MaxDuration: probeMost, StaleAfter: probeStale}
	for _, h := range f.hosts {
		planner := probe.NewPlanner(settings, h.views, func(string) *contract.Service { return terms }, epoch-hostsRunFor)
		var tick func()
		tick = func() {
			for _, target := range planner.Due(epoch + f.clock.now) {
				f.probe(h, target)
			}
			if f.clock.now < int64(f.scenario.Duration) {
				f.clock.after(probeInterval, tick)
			}
		}
		f.clock.at(0, tick)
	}
}

// probe takes a slot of the instance for the cost of a probe.
func (f *fleet) probe(h *host, target probe.Target) {
	n := f.index(h, target.Member.Instance().ID())
	u := f.upstreams[n]
	sentAt := f.clock.now
	f.clock.after(f.delay(h, n), func() {
		u.serve(float64(f.scenario.ProbeCost)*u.rate(), func(reported int) {
			if f.result.counts(f.clock.now) {
				f.result.ProbeNs += float64(f.scenario.ProbeCost)
			}
			f.clock.after(f.delay(h, n), func() {
				target.Reservation.Settle(time.Duration(f.clock.now - sentAt))
				target.Member.Load().RecordProbe(reported, 0, epoch+f.clock.now)
			})
		})
	})
}
