package route

import (
	"context"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
)

// ProbeFunc asks an instance for its load. The router waits for the report for a
// short time only; the scout bounds its own.
type ProbeFunc func(m Member) ProbeReport

// WithProbe asks a few instances for their load before a request is sent. The
// load of shared machines shifts faster than answers and periodic probes tell.
func WithProbe(scout ProbeFunc) Option { return func(r *Router) { r.scout = scout } }

// Constants of looks.
const (
	maxLooks   = 4                     // instances asked at once for one request
	firstLooks = 2                     // the same while the service's time is not known
	lookRounds = 3                     // times that further instances are asked
	lookFresh  = 25 * time.Millisecond // age up to which a report stands for the present
	lookLimit  = 30 * time.Millisecond // wait for the reports of one round, at least
	lookAim    = 0.05                  // the same as a share of the time aimed at
	lookGrace  = 3 * time.Millisecond  // wait for better ones once a good one told
)

// ProbeStats is what was asked of instances before a choice.
type ProbeStats struct {
	Sent      int // instances
	Completed int // of them, in time
	Elapsed   time.Duration
}

// look asks instances for their load until one that works at a usual speed has
// room. Looks take at most the service's probe budget as a share of the time of
// the request that they are for, so that they stay under it whatever the rate
// and however many hosts send requests.
func (d *Dispatcher) look(ctx context.Context, q *Query) (look ProbeStats) {
	view := d.router.views.Load(d.service)
	if d.router.scout == nil || view == nil || len(view.members) < 2 || d.waiting.Load() > 0 {
		return look
	}
	terms := d.router.terms(d.service)
	if terms.Health() == "" {
		return look
	}
	from := d.router.clock()
	for range lookRounds {
		now, n := d.router.clock(), min(d.looks(view, terms, q)-look.Sent, maxLooks)
		candidates := d.candidates(view, q)
		if n <= 0 || settled(candidates, q, view, now) {
			break
		}
		targets := d.unseen(view, candidates, q, n, now)
		if len(targets) == 0 {
			break
		}
		look.Sent += len(targets)
		told := d.ask(ctx, view, targets, q)
		look.Completed += told
		if told == 0 {
			break // this host's own link is busy
		}
	}
	look.Elapsed = time.Duration(d.router.clock() - from)
	return look
}

// looks returns how many instances may be asked for one request.
func (d *Dispatcher) looks(view *View, terms *contract.Service, q *Query) int {
	cost, work := d.router.lookTime.get(), max(view.norm.latency.get(), float64(q.aimed())*workOfAim)
	if cost == 0 || work == 0 {
		return firstLooks
	}
	return int(terms.ProbeBudget() * work / cost)
}

// workOfAim is the least share of the time aimed at that a request is taken to
// need.
const workOfAim = 0.3

// Weights of a new sample of the time that a look takes. The estimate stays near
// the quick ones: what the others wait for is the way there, not the instance.
const (
	quickerLook = 0.2
	slowerLook  = 0.02
)

// looked learns the time of a look.
func (r *Router) looked(took float64) {
	r.lookTime.update(func(old float64) float64 {
		switch {
		case old == 0:
			return took
		case took < old:
			return old + quickerLook*(took-old)
		default:
			return old + slowerLook*(min(took, 2*old)-old)
		}
	})
}

// candidates returns the members that requests of this host go to first.
func (d *Dispatcher) candidates(view *View, q *Query) []Member {
	among := d.subset(view, q.zone)
	if among == nil {
		return view.members
	}
	members := make([]Member, 0, len(among))
	for _, at := range among {
		members = append(members, view.members[at])
	}
	return members
}

// settled reports whether a candidate is known right now to have room, and to be
// quicker than most.
func settled(candidates []Member, q *Query, view *View, now int64) bool {
	quick := (1 + max(view.norm.speed.get(), 1)) / 2
	for n := range candidates {
		m := &candidates[n]
		if usable(m, q, now) && m.load.fresh(now) && m.roomy() && m.load.speed.get() <= quick {
			return true
		}
	}
	return false
}

// unseen returns up to n candidates of which nothing fresh is known, those first
// that were not busy or slow when last heard of.
func (d *Dispatcher) unseen(view *View, candidates []Member, q *Query, n int, now int64) []Member {
	var first, rest []Member
	near := min(len(candidates), subsetNear)
	if d.subset(view, q.zone) == nil {
		near = len(candidates)
	}
	start := d.router.random.IntN(near)
	for k := range candidates {
		m := &candidates[k]
		if k < near {
			m = &candidates[(start+k)%near]
		}
		if !usable(m, q, now) || m.load.fresh(now) || !m.load.claimLook(now) {
			continue
		}
		if m.roomy() && m.load.speedNow(0, now) < slowSpeed {
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
		m.load.askedAt.Store(0)
	}
	return targets[:min(n, len(targets))]
}

// slowSpeed is the multiple of the usual time from which an instance that was
// just heard of is asked last.
const slowSpeed = 1.5

// ask waits for the reports of members, but not long, and returns how many came.
// Once one of them settles the choice the others have little time left.
func (d *Dispatcher) ask(ctx context.Context, view *View, targets []Member, q *Query) int {
	reports := make(chan struct{}, len(targets))
	for _, m := range targets {
		go func() {
			from := d.router.clock()
			report := d.router.scout(m)
			if report.Answered {
				d.router.looked(float64(d.router.clock() - from))
			}
			d.router.RecordProbe(m, report)
			reports <- struct{}{}
		}()
	}
	limit := time.NewTimer(max(lookLimit, time.Duration(lookAim*float64(q.aimed()))))
	defer limit.Stop()
	enough := false
	for told := range targets {
		select {
		case <-reports:
		case <-limit.C:
			return told
		case <-ctx.Done():
			return told
		}
		if !enough && settled(targets, q, view, d.router.clock()) {
			enough = true
			limit.Reset(lookGrace)
		}
	}
	return len(targets)
}

func usable(m *Member, q *Query, now int64) bool {
	state := stateOf(m, q, now)
	return state != Draining && state != Excluded && state != Ejected
}

// roomy reports whether a slot is left free as far as is known.
func (m *Member) roomy() bool {
	reported, _ := m.load.Reported()
	return max(reported, m.load.InFlight())+1 < max(m.instance.Slots(), 2)
}

// fresh reports whether the instance told of its load just now.
func (l *Load) fresh(now int64) bool { return now-l.reportedAt.Load() < int64(lookFresh) }

// claimLook reports whether nobody asked the instance just now, and counts it
// as asked.
func (l *Load) claimLook(now int64) bool {
	last := l.askedAt.Load()
	return now-last >= int64(lookFresh) && l.askedAt.CompareAndSwap(last, now)
}
