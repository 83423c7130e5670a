package route

import (
	"context"
	"time"
)

// waitInterval is the interval at which waiting requests are dispatched anew. A slot may
// become usable without the end of a request: the instance's report has aged, or a slow
// moment has passed.
const waitInterval = 25 * time.Millisecond

// recheckAfter is the age from which a report of a slow moment is checked by a probe
// while requests wait.
const recheckAfter = 50 * time.Millisecond

// RunWaiting dispatches waiting requests at an interval, and probes the instances that
// might take them, until the context ends.
func (r *Router) RunWaiting(ctx context.Context) {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, d := range *r.dispatchers.Load() {
			if d.waiting.Load() > 0 {
				d.retryWaiting()
			}
		}
	}
}

func (d *Dispatcher) retryWaiting() {
	now := d.router.clock()
	d.mu.Lock()
	d.dispatch(now)
	d.mu.Unlock()
	if d.waiting.Load() > 0 {
		d.probeForWaiting(now)
	}
}

// probeForWaiting probes a few instances that this host does not use fully and whose
// last report is old.
func (d *Dispatcher) probeForWaiting(now int64) {
	cached := d.subsetCache.Load()
	terms := d.router.terms(d.service)
	if d.router.probe == nil || cached == nil || terms.Health() == "" {
		return
	}
	members := cached.members()
	if len(members) == 0 {
		return
	}
	q := &Query{coldRate: terms.ColdRate()}
	sent, start := 0, d.router.random.IntN(len(members))
	for k := range members {
		m := members[(start+k)%len(members)]
		if !usable(&m, q, now) || m.load.InFlight() >= max(m.instance.Slots()-1, 1) ||
			now-m.load.reportedAt.Load() < int64(recheckAfter) || !m.load.claimProbe(now) {
			continue
		}
		go func() {
			d.router.RecordProbe(m, d.router.probe(m))
		}()
		if sent++; sent == maxProbes-1 {
			return
		}
	}
}
