package directory

import (
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

// maxAnswers bounds the answers that a plan keeps. Callers name zones as they like.
const maxAnswers = 1024

// question is what callers ask the directory.
type question struct{ host, zone string }

// plan is the distribution of the host names over the entry hosts of one snapshot of the
// fleet, under one version of the rules. It works out what is asked of it once.
type plan struct {
	snapshot *fleet.Snapshot
	version  uint64
	demand   demand

	mu          sync.Mutex
	answers     map[question][]*wire.HostReport
	activeHosts int // 0: not worked out yet
}

// currentPlan returns the plan for the current fleet and rules.
func (d *Directory) currentPlan(now time.Time) *plan {
	snapshot := d.fleet.Snapshot(now)
	version, _ := d.machine.InForce()
	if p := d.plan.Load(); p != nil && p.snapshot == snapshot && p.version == version.GetNumber() {
		return p
	}
	p := &plan{snapshot: snapshot, version: version.GetNumber(), demand: d.demand(snapshot), answers: map[question][]*wire.HostReport{}}
	d.plan.Store(p)
	return p
}

// answer returns the entry hosts for a question. They must not be modified.
func (d *Directory) answer(p *plan, q question, services []string) []*wire.HostReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts, known := p.answers[q]
	if !known {
		hosts = d.choose(p, q, services)
		if len(p.answers) < maxAnswers {
			p.answers[q] = hosts
		}
	}
	return hosts
}

func (d *Directory) choose(p *plan, q question, services []string) []*wire.HostReport {
	entries := p.snapshot.Polling()
	if n := p.demand.hosts(services); n <= placement.Zones(entries) {
		return placement.Choose(entries, services[0], q.zone, placement.Plan{Spread: max(n, d.minHosts)}).Hosts()
	}
	return placement.ChooseFromPool(entries, q.zone, d.pool(q.host, p.demand, entries))
}

// ActiveHosts returns the largest number of entry hosts that serve one host
// name.
func (d *Directory) ActiveHosts() int {
	p := d.currentPlan(time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.activeHosts == 0 {
		p.activeHosts = max(d.minHosts, 1)
		for _, services := range d.serviceGroups() {
			p.activeHosts = max(p.activeHosts, min(p.demand.hosts(services), len(p.snapshot.Polling())))
		}
	}
	return p.activeHosts
}
