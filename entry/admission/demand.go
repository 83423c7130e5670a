package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Constants of the report.
const (
	demandDecay = 2 * time.Second // time constant by which events are forgotten
	// minRate is the rate a second below which an entry counts as zero. One event is above
	// it for about 8 s.
	minRate = 0.01
	// maxReported bounds the report, which is sent several times a second. The smaller
	// entries of a level are reported together, without an organisation.
	maxReported = 32
	// maxCounters bounds the memory; requests of further flows are not counted.
	maxCounters = 4096
)

// rates are events a second, each weighted down with its age.
type rates struct{ arrivals, refused, served, slots float64 }

func (r *rates) add(other rates) {
	r.arrivals += other.arrivals
	r.refused += other.refused
	r.served += other.served
	r.slots += other.slots
}

func (r *rates) scale(factor float64) {
	r.arrivals *= factor
	r.refused *= factor
	r.served *= factor
	r.slots *= factor
}

func (r *rates) zero() bool { return r.arrivals < minRate && r.refused < minRate && r.served < minRate }

// counter counts the events of one flow. Nil counts nothing.
type counter struct {
	mu  sync.Mutex
	at  int64
	sum rates
}

func (c *counter) add(now int64, events rates) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	c.sum.add(events)
}

func (c *counter) decay(now int64) {
	if age := now - c.at; age > 0 {
		c.sum.scale(math.Exp(-float64(age) / float64(demandDecay)))
		c.at = now
	}
}

// perSecond returns the rates.
func (c *counter) perSecond(now int64) rates {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	result := c.sum
	result.scale(1 / demandDecay.Seconds())
	return result
}

// counter returns the counter of a flow, nil if there are too many.
func (g *Gate) counter(f route.Flow) *counter {
	if c := (*g.counters.Load())[f]; c != nil {
		return c
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	old := *g.counters.Load()
	if c := old[f]; c != nil || len(old) >= maxCounters {
		return c
	}
	next := make(map[route.Flow]*counter, len(old)+1)
	for other, c := range old {
		next[other] = c
	}
	next[f] = &counter{at: g.clock()}
	g.counters.Store(&next)
	return next[f]
}

// forget removes the counters of flows without recent requests.
func (g *Gate) forget(now int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := map[route.Flow]*counter{}
	for f, c := range *g.counters.Load() {
		if r := c.perSecond(now); !r.zero() {
			next[f] = c
		}
	}
	g.counters.Store(&next)
}

type entry struct {
	flow  route.Flow
	rates rates
}

// Report returns the demand at this host, the largest first.
func (g *Gate) Report() []*wire.Demand {
	now := g.clock()
	var all []entry
	idle := 0
	for f, c := range *g.counters.Load() {
		if r := c.perSecond(now); !r.zero() {
			all = append(all, entry{f, r})
			continue
		}
		idle++
	}
	if idle > len(all) {
		g.forget(now)
	}
	sortEntries(all)
	var report []*wire.Demand
	for _, e := range bounded(all) {
		report = append(report, e.wire())
	}
	return report
}

func sortEntries(all []entry) {
	slices.SortFunc(all, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.rates.arrivals, a.rates.arrivals), cmp.Compare(a.flow.Service, b.flow.Service),
			cmp.Compare(a.flow.OrganisationRank, b.flow.OrganisationRank), cmp.Compare(a.flow.RouteRank, b.flow.RouteRank),
			cmp.Compare(a.flow.Organisation, b.flow.Organisation))
	})
}

// bounded merges the smaller entries of each level, so that the totals stay.
func bounded(all []entry) []entry {
	if len(all) <= maxReported {
		return all
	}
	merged := map[route.Flow]rates{}
	for _, e := range all[maxReported:] {
		f := e.flow
		f.Organisation = ""
		sum := merged[f]
		sum.add(e.rates)
		merged[f] = sum
	}
	result := slices.Clone(all[:maxReported])
	rest := make([]entry, 0, len(merged))
	for f, r := range merged {
		rest = append(rest, entry{f, r})
	}
	sortEntries(rest)
	return append(result, rest...)
}

func (e *entry) wire() *wire.Demand {
	return &wire.Demand{
		Service: e.flow.Service, OrganisationRank: uint32(e.flow.OrganisationRank), Rank: uint32(e.flow.RouteRank), Organisation: e.flow.Organisation,
		ArrivalsPerS: e.rates.arrivals, RefusedPerS: e.rates.refused, ServedPerS: e.rates.served, Slots: e.rates.slots,
	}
}
