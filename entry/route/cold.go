package route

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/snipebeam/snipebeam/world/instance"
)

var (
	coldRequests = metrics.GetOrCreateCounter("snipebeam_requests_to_cold_instances_total")
	coldProbes   = metrics.GetOrCreateCounter("snipebeam_probes_of_cold_instances_total")
)

// Warmup is the time for which an instance stays cold, as its response to a probe states
// it. The zero value states nothing.
type Warmup struct {
	left   time.Duration
	stated bool
}

// NewWarmup returns the statement that an instance stays cold for a time; 0 means that it
// is not cold.
func NewWarmup(left time.Duration) Warmup {
	return Warmup{left: min(max(left, 0), instance.MaxWarmup), stated: true}
}

// Stated reports whether the response stated a time.
func (w Warmup) Stated() bool { return w.stated }

// Left returns the stated time, 0 if the instance is not cold.
func (w Warmup) Left() time.Duration { return w.left }

// warmup is when an instance stops being cold, from its record and from probes.
type warmup struct {
	record atomic.Pointer[recordedWarmup]
	probed atomic.Pointer[coldTime] // as last stated to a probe, nil if never
}

// coldTime is the time in which an instance is cold, from when this host heard of it.
type coldTime struct {
	heard int64
	end   int64 // not after heard if the instance was no longer cold by then, 0 if it never was
}

// untimed is the end of the cold time of an instance that did not state it.
const untimed = math.MaxInt64

// at returns the cold time as it applies now. If the clock was set back to before its
// beginning, it begins again now. It would otherwise last until the clock has caught up.
func (c coldTime) at(now int64) coldTime {
	if now >= c.heard {
		return c
	}
	if c.end != 0 && c.end != untimed {
		c.end -= c.heard - now
	}
	c.heard = now
	return c
}

// recordedWarmup is the cold time that a record of the instance states.
type recordedWarmup struct {
	coldTime
	instance *instance.Instance
}

// after returns what applies once the host knows a later record of the instance.
func (old *recordedWarmup) after(next *instance.Instance, now int64) *recordedWarmup {
	record := &recordedWarmup{instance: next, coldTime: coldTime{heard: now}}
	var before coldTime
	if old != nil {
		before = old.at(now)
	}
	switch {
	case !next.Cold():
		record.end = min(before.end, now)
	case old != nil && old.instance.Cold() && old.instance.WarmupLeft() == next.WarmupLeft() && old.instance.WarmupSequence() == next.WarmupSequence():
		record.coldTime = before // the record changed in another way
	case next.WarmupLeft() == 0:
		record.end = untimed
	default:
		record.end = now + int64(next.WarmupLeft())
	}
	return record
}

// recorded returns what the record states. The time that it states counts from the first
// call with that record.
func (w *warmup) recorded(i *instance.Instance, now int64) *recordedWarmup {
	old := w.record.Load()
	if old != nil && old.instance == i && now >= old.heard {
		return old
	}
	var record *recordedWarmup
	if old != nil && old.instance == i {
		record = &recordedWarmup{instance: i, coldTime: old.at(now)}
	} else {
		record = old.after(i, now)
	}
	w.record.CompareAndSwap(old, record)
	return record
}

// probedEnd returns the end that was last stated to a probe, 0 if none was.
func (w *warmup) probedEnd(now int64) int64 {
	old := w.probed.Load()
	if old == nil {
		return 0
	}
	if now < old.heard {
		next := old.at(now)
		w.probed.CompareAndSwap(old, &next)
		return next.end
	}
	return old.end
}

// end returns when the instance stops or stopped being cold, 0 if it never was.
func (w *warmup) end(i *instance.Instance, now int64) int64 {
	return max(w.recorded(i, now).end, w.probedEnd(now))
}

// state records what a response to a probe stated. That the instance is not cold ends
// also what the record states, which is older.
func (w *warmup) state(i *instance.Instance, stated Warmup, now int64) {
	if !stated.stated {
		return
	}
	record := w.recorded(i, now)
	if stated.left > 0 {
		coldProbes.Inc()
		w.probed.Store(&coldTime{heard: now, end: now + int64(stated.left)})
		return
	}
	if record.end > now {
		w.record.Store(&recordedWarmup{instance: i, coldTime: coldTime{heard: now, end: now}})
	}
	if w.probedEnd(now) > now {
		w.probed.Store(&coldTime{heard: now, end: now})
	}
}

// ColdUntil returns when the instance stops or stopped being cold, 0 if it never was.
func (m Member) ColdUntil(now int64) int64 { return m.load.warmup.end(m.instance, now) }

// noteCold starts the cold times that new records state.
func (d *Dispatcher) noteCold(view *View, now int64) {
	if d.router.terms(d.service).ColdRate() <= 0 {
		return
	}
	for _, m := range view.members {
		m.ColdUntil(now)
	}
}

// isCold reports whether the member counts as cold. Without a limit on requests to cold
// instances, this is what its record states.
func (m *Member) isCold(coldRate float64, now int64) bool {
	if coldRate <= 0 {
		return m.instance.Cold()
	}
	return m.ColdUntil(now) > now
}

// warmRamp is the time over which instances that were cold get their share back. All hosts
// see their end at nearly the same time, and would otherwise send their next requests to the
// instances of a returned zone, which are idle.
const warmRamp = 2 * time.Second

// warmDelay returns the time for which a host goes on to avoid instances after their cold
// time. It is spread evenly over warmRamp by the names of hosts. A cost that fell over that
// time would change the choice of all hosts at once, when it falls below that of the others.
func warmDelay(host string) int64 { return int64(xxhash.Sum64String(host) % uint64(warmRamp)) }

// coldCost returns the factor on the score of an instance whose cold time ends at the given
// time, at a host with the given delay.
func coldCost(end, delay, now int64) float64 {
	if end == 0 || now >= end && now-end >= delay {
		return 1
	}
	return coldFactor
}

// lower returns the lower of two limits. One of them may be none.
func (l RateLimit) lower(other RateLimit) RateLimit {
	if !l.limited || other.limited && other.perSecond < l.perSecond {
		return other
	}
	return l
}

// allowance is the limit that binds requests to a member.
type allowance struct {
	limit RateLimit
	cold  bool // the member is cold and its service limits the requests to cold ones
}

// allowance returns the limit that binds requests to the member: the lower one of the
// limit that it named and of that for cold instances.
func (m *Member) allowance(coldRate float64, now int64) allowance {
	named := m.load.RateLimit()
	if coldRate <= 0 || !m.isCold(coldRate, now) {
		return allowance{limit: named}
	}
	return allowance{limit: named.lower(NewRateLimit(coldRate)), cold: true}
}

// available returns the requests that this host may send to a member with a limit.
func (m *Member) available(a allowance, now int64) int {
	return m.load.rateLimit.available(a.cold, now)
}

// mayTake reports whether this host may send one more request now.
func (m *Member) mayTake(coldRate float64, now int64) bool {
	a := m.allowance(coldRate, now)
	return !a.limit.limited || m.available(a, now) > 0
}

// takeRequest counts a request against the limits, and returns what it was charged. It
// returns false if none may be sent.
func (m *Member) takeRequest(coldRate float64, now int64) (taken credit, ok bool) {
	a := m.allowance(coldRate, now)
	if !a.limit.limited {
		return credit{}, true
	}
	if taken = m.load.rateLimit.take(a.cold, now); taken.requests == 0 {
		return credit{}, false
	}
	if a.cold {
		coldRequests.Inc()
	} else {
		limitedRequests.Inc()
	}
	return taken, true
}
