package fleet

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Demand is that of all hosts that are not silent.
type Demand struct {
	flows  []*wire.Demand
	queued map[string]float64
}

// Flows returns the entries of all hosts, of which several may be of the same flow.
func (d *Demand) Flows() []*wire.Demand { return d.flows }

// Queued returns how many requests of a service wait.
func (d *Demand) Queued(service string) float64 { return d.queued[service] }

// Demand returns the demand of all hosts, empty where no rules hold organisations. Every
// entry host polls every control host, so that each of these has all reports.
func (f *Fleet) Demand(now time.Time) *Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := &Demand{queued: map[string]float64{}}
	for name, report := range f.reports {
		if now.Sub(f.lastSeen[name]) > SilentAfter {
			continue
		}
		d.flows = append(d.flows, report.GetDemand()...)
		for _, line := range report.GetBacklog() {
			if line.GetInstance() == "" {
				d.queued[line.GetService()] += float64(line.GetQueued())
			}
		}
	}
	return d
}
