package fleet

import (
	"sort"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// snapshotTTL is how long a snapshot is used while no host appears, leaves or changes its
// state. Rates and the ends of polls may be seen that much later.
const snapshotTTL = 100 * time.Millisecond

// Snapshot is the fleet at one time, shared by all polls and callers of that time. It must
// not be modified.
type Snapshot struct {
	at      time.Time
	polling []*wire.HostReport
	rates   []*wire.ServiceRate
}

// Polling returns the latest reports of the hosts that poll this control host, sorted by
// name.
func (s *Snapshot) Polling() []*wire.HostReport { return s.polling }

// Rates returns the arrival rate and the body bytes per second of each service, summed over
// all hosts that are not silent.
func (s *Snapshot) Rates() []*wire.ServiceRate { return s.rates }

// Snapshot returns the fleet as of at most snapshotTTL ago.
func (f *Fleet) Snapshot(now time.Time) *Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.snapshot; s != nil && !now.Before(s.at) && now.Sub(s.at) < snapshotTTL {
		return s
	}
	f.snapshot = &Snapshot{at: now, polling: f.polling(now), rates: f.rates(now)}
	return f.snapshot
}

// Polling returns the latest reports of the hosts that currently poll this control host,
// sorted by name.
func (f *Fleet) Polling(now time.Time) []*wire.HostReport { return f.Snapshot(now).Polling() }

// Rates returns the load of each service on all hosts together.
func (f *Fleet) Rates(now time.Time) []*wire.ServiceRate { return f.Snapshot(now).Rates() }

func (f *Fleet) polling(now time.Time) []*wire.HostReport {
	all := make([]*wire.HostReport, 0, len(f.reports))
	for name, report := range f.reports {
		if f.polls[name] > 0 || now.Sub(f.lastSeen[name]) <= PollGrace {
			all = append(all, report)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].GetName() < all[j].GetName() })
	return all
}

func (f *Fleet) rates(now time.Time) []*wire.ServiceRate {
	total := map[string]*wire.ServiceRate{}
	for name, report := range f.reports {
		if now.Sub(f.lastSeen[name]) <= SilentAfter {
			addRates(total, report)
		}
	}
	rates := make([]*wire.ServiceRate, 0, len(total))
	for _, rate := range total {
		rates = append(rates, rate)
	}
	return rates
}
