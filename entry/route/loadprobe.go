package route

import (
	"context"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
)

// ProbeFunc requests the load of an instance. The router waits only briefly for the
// report; the function enforces its own timeout.
type ProbeFunc func(m Member) ProbeReport

// WithProbe enables pre-dispatch load probes: the router requests the load of a few
// instances before it dispatches a request. The load of shared hosts changes
// faster than responses and periodic probes can report.
func WithProbe(probe ProbeFunc) Option { return func(r *Router) { r.probe = probe } }

// Constants of pre-dispatch probes.
const (
	maxProbes      = 4                     // probes per round for one request
	initialProbes  = 2                     // probes per request while the probe time or the service's latency is unknown
	probeRounds    = 3                     // maximum number of rounds
	freshFor       = 25 * time.Millisecond // age up to which a report is considered current
	minProbeWait   = 30 * time.Millisecond // minimum timeout of a round
	probeWaitShare = 0.05                  // timeout of a round as a share of the target latency
	probeGrace     = 3 * time.Millisecond  // additional wait for better reports after a good one

	// firstReportShare is the timeout of a round without any report, as a share of the
	// target latency. A body that occupies the network link of this host delays all
	// reports, and an instance chosen without one is slow more often than the wait is long.
	firstReportShare = 0.15
)

// ProbeStats summarises the pre-dispatch probes of a request.
type ProbeStats struct {
	Sent      int // probes sent
	Completed int // probes that finished in time
	Elapsed   time.Duration
}

// sendProbes probes instances until a fast one has a free slot (see
// hasFastFreeMember). The probes of a request take at most the service's probe
// budget as a share of the time of that request, so the budget holds at any
// request rate and for any number of hosts.
func (d *Dispatcher) sendProbes(ctx context.Context, q *Query) (stats ProbeStats) {
	view := d.router.views.Load(d.service)
	if d.router.probe == nil || view == nil || len(view.members) < 2 || d.waiting.Load() > 0 {
		return stats
	}
	terms := d.router.terms(d.service)
	if terms.Health() == "" {
		return stats
	}
	q.coldRate = terms.ColdRate()
	started := d.router.clock()
	for range probeRounds {
		now, n := d.router.clock(), min(d.probeAllowance(view, terms, q)-stats.Sent, maxProbes)
		candidates := d.preferredMembers(view, q)
		if n <= 0 || hasFastFreeMember(candidates, q, view, now) {
			break
		}
		targets := d.probeTargets(view, candidates, q, n, now)
		if len(targets) == 0 {
			break
		}
		stats.Sent += len(targets)
		completed := d.awaitProbes(ctx, view, targets, q)
		stats.Completed += completed
		if completed == 0 {
			break // this host's network link is busy
		}
	}
	stats.Elapsed = time.Duration(d.router.clock() - started)
	return stats
}

// probeAllowance returns how many probes one request may send.
func (d *Dispatcher) probeAllowance(view *View, terms *contract.Service, q *Query) int {
	cost, work := d.router.probeTime.get(), max(view.stats.latency.get(), float64(q.targetLatency())*minWorkShare)
	if cost == 0 || work == 0 {
		return initialProbes
	}
	return int(terms.ProbeBudget() * work / cost)
}

// minWorkShare is the minimum service time that is assumed for a request, as a share
// of its target latency.
const minWorkShare = 0.3

// EWMA weights of a new sample of the probe time, below and above the estimate. The
// estimate stays near the fast probes, as slow ones mostly wait for the network and
// not for the instance.
const (
	fasterProbeWeight = 0.2
	slowerProbeWeight = 0.02
)

// observeProbeTime updates the estimate of the time that a probe takes.
func (r *Router) observeProbeTime(elapsed float64) {
	r.probeTime.update(func(old float64) float64 {
		switch {
		case old == 0:
			return elapsed
		case elapsed < old:
			return old + fasterProbeWeight*(elapsed-old)
		default:
			return old + slowerProbeWeight*(min(elapsed, 2*old)-old)
		}
	})
}

// preferredMembers returns the members that this host prefers.
func (d *Dispatcher) preferredMembers(view *View, q *Query) []Member {
	return (&subset{view: view, positions: d.subset(view, q.zone)}).members()
}

// hasFastFreeMember reports whether a candidate has a current report of a free slot
// and a slowdown of at most midway between the usual speed and the service's mean.
func hasFastFreeMember(candidates []Member, q *Query, view *View, now int64) bool {
	fast := (1 + max(view.stats.slowdown.get(), 1)) / 2
	for n := range candidates {
		m := &candidates[n]
		if usable(m, q, now) && m.load.fresh(now) && m.hasFreeSlot() && m.load.slowdown.get() <= fast {
			return true
		}
	}
	return false
}

// probeTargets returns up to n candidates without a current report. Those that were
// neither busy nor slow according to their last report come first.
func (d *Dispatcher) probeTargets(view *View, candidates []Member, q *Query, n int, now int64) []Member {
	var first, rest []Member
	rotated := min(len(candidates), subsetInZone)
	if d.subset(view, q.zone) == nil {
		rotated = len(candidates)
	}
	start := d.router.random.IntN(rotated)
	for k := range candidates {
		m := &candidates[k]
		if k < rotated {
			m = &candidates[(start+k)%rotated]
		}
		if !usable(m, q, now) || m.load.fresh(now) || !m.load.claimProbe(now) {
			continue
		}
		if m.hasFreeSlot() && m.load.slowdownNow(0, now) < slowThreshold {
			first = append(first, *m)
		} else {
			rest = append(rest, *m)
		}
		if len(first) == n {
			break
		}
	}
	targets := append(first, rest...)
	for _, m := range targets[min(n, len(targets)):] {
		m.load.probedAt.Store(0)
	}
	return targets[:min(n, len(targets))]
}

// slowThreshold is the slowdown from which an instance is probed last.
const slowThreshold = 1.5

// awaitProbes probes members and returns how many probes finished before the timeout.
// As soon as one reports a fast instance with a free slot, the timeout of the others
// is shortened to probeGrace.
func (d *Dispatcher) awaitProbes(ctx context.Context, view *View, targets []Member, q *Query) int {
	reports := make(chan struct{}, len(targets))
	for _, m := range targets {
		go func() {
			started := d.router.clock()
			report := d.router.probe(m)
			if report.Answered {
				d.router.observeProbeTime(float64(d.router.clock() - started))
			}
			d.router.RecordProbe(m, report)
			reports <- struct{}{}
		}()
	}
	target := float64(q.targetLatency())
	wait, started := max(minProbeWait, time.Duration(probeWaitShare*target)), d.router.clock()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	firstReport := time.NewTimer(max(wait, time.Duration(firstReportShare*target)))
	defer firstReport.Stop()
	found := false
	for completed := range targets {
		expired := timeout.C
		if completed == 0 {
			expired = firstReport.C
		}
		select {
		case <-reports:
		case <-expired:
			return completed
		case <-ctx.Done():
			return completed
		}
		if completed == 0 && d.router.clock()-started >= int64(wait) {
			timeout.Reset(probeGrace) // the others were held up with the first one
		}
		if !found && hasFastFreeMember(targets, q, view, d.router.clock()) {
			found = true
			timeout.Reset(probeGrace)
		}
	}
	return len(targets)
}

func usable(m *Member, q *Query, now int64) bool {
	state := stateOf(m, q, now)
	return state != Draining && state != Excluded && state != Ejected && m.mayTake(q.coldRate, now)
}

// hasFreeSlot reports whether one more request would leave a slot free, according to
// the last report and the local in-flight count.
func (m *Member) hasFreeSlot() bool {
	reported, _ := m.load.Reported()
	return max(reported, m.load.InFlight())+1 < max(m.instance.Slots(), 2)
}

// fresh reports whether the last load report of the instance is current.
func (l *Load) fresh(now int64) bool { return now-l.reportedAt.Load() < int64(freshFor) }

// claimProbe reports whether the instance was not probed recently, and if so marks
// it as probed.
func (l *Load) claimProbe(now int64) bool {
	last := l.probedAt.Load()
	return now-last >= int64(freshFor) && l.probedAt.CompareAndSwap(last, now)
}
