package probe

import (
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
)

// Config is the configuration of a planner.
type Config struct {
	Hosts       int           // maximum number of entry hosts at a time
	Window      time.Duration // of the budget
	MaxDuration time.Duration // of one probe
	StaleAfter  time.Duration // age from which a load report or response counts as stale
	MinRate     float64       // responses per second from which a host probes for a service, 0 for any
}

// Planner selects the instances to probe. A host probes only for services that it
// serves, which are those with a recent successful response here.
type Planner struct {
	cfg       Config
	views     *route.Views
	terms     func(service string) *contract.Service
	startedAt int64

	mu            sync.Mutex
	limiters      map[instance.ID]*limiterEntry
	usedByRemoved time.Duration // slot time of removed instances
}

type limiterEntry struct {
	limiter *Limiter
	budget  float64
}

// NewPlanner returns a planner of a host that started at the given time, in Unix
// nanoseconds.
func NewPlanner(cfg Config, views *route.Views, terms func(service string) *contract.Service, startedAt int64) *Planner {
	return &Planner{cfg: cfg, views: views, terms: terms, startedAt: startedAt, limiters: map[instance.ID]*limiterEntry{}}
}

// Target is an instance to probe, with the slot time reserved for the probe.
type Target struct {
	Member      route.Member
	Reservation *Reservation
}

// Due returns the instances without fresh load data, as far as the budget allows,
// and reserves the budget for their probes.
func (p *Planner) Due(now int64) []Target {
	var due []Target
	p.prune(now)
	for service, view := range p.views.All() {
		if !p.serves(view, now) {
			continue
		}
		budget := p.terms(service).ProbeBudget()
		for _, m := range view.Members() {
			if p.fresh(m, now) || m.Instance().Draining() {
				continue
			}
			if r := p.limiter(m.Instance(), budget).Reserve(now); r != nil {
				due = append(due, Target{Member: m, Reservation: r})
			}
		}
	}
	return due
}

// prune drops the limiters of removed instances once their last probe is older than
// the window; a limiter dropped earlier could let a returning instance exceed its
// budget.
func (p *Planner) prune(now int64) {
	present := map[instance.ID]bool{}
	for _, view := range p.views.All() {
		for _, m := range view.Members() {
			present[m.Instance().ID()] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.limiters {
		if !present[id] && e.limiter.lastEndsAt()+int64(e.limiter.window) <= now {
			p.usedByRemoved += e.limiter.Used()
			delete(p.limiters, id)
		}
	}
}

// serves reports whether this host had a successful response of the service within
// the window, at no less than the minimum rate.
func (p *Planner) serves(view *route.View, now int64) bool {
	last := view.Stats().LastSuccess()
	return last != 0 && now-last < int64(p.cfg.Window) && view.Stats().Rate(now) >= p.cfg.MinRate
}

// fresh reports whether a response or a probe updated the load data of the instance
// recently.
func (p *Planner) fresh(m route.Member, now int64) bool {
	_, at := m.Load().Reported()
	return now-max(at, m.Load().LatencyAt()) < int64(p.cfg.StaleAfter)
}

// limiter returns the instance's limiter. A changed budget starts a new limiter that
// waits for a full window, so that neither the old nor the new budget is exceeded.
func (p *Planner) limiter(i *instance.Instance, budget float64) *Limiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.limiters[i.ID()]
	if old != nil && old.budget == budget {
		return old.limiter
	}
	cfg := LimiterConfig{Budget: budget, Slots: i.Slots(), Hosts: p.cfg.Hosts, Window: p.cfg.Window, MaxDuration: p.cfg.MaxDuration}
	startedAt := p.startedAt
	if old != nil {
		startedAt = max(startedAt, old.limiter.lastEndsAt())
	}
	next := &limiterEntry{limiter: NewLimiter(cfg, startedAt), budget: budget}
	p.limiters[i.ID()] = next
	return next.limiter
}

// Used returns the slot time used by this host's probes since the start.
func (p *Planner) Used() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.usedByRemoved
	for _, e := range p.limiters {
		used += e.limiter.Used()
	}
	return used
}
