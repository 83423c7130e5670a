package probe

import (
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
)

// Config of probes.
type Config struct {
	Hosts       int           // entry hosts that may exist at one time
	Window      time.Duration // over which the budget holds
	MaxDuration time.Duration // time that one probe may take
	StaleAfter  time.Duration // age from which what is known is no longer fresh
	MinRate     float64       // answers a second from which a host serves a service, 0 for any
}

// Planner says which instances to probe. A host asks only about services that
// it serves: those that sent it requests of late.
type Planner struct {
	cfg       Config
	views     *route.Views
	terms     func(service string) *contract.Service
	startedAt int64

	mu            sync.Mutex
	limiters      map[instance.ID]*limiterEntry
	usedByRemoved time.Duration // slot time of instances that are forgotten
}

type limiterEntry struct {
	limiter *Limiter
	budget  float64
}

// NewPlanner returns a planner of a host that started at a time.
func NewPlanner(s Config, views *route.Views, terms func(service string) *contract.Service, startedAt int64) *Planner {
	return &Planner{cfg: s, views: views, terms: terms, startedAt: startedAt, limiters: map[instance.ID]*limiterEntry{}}
}

// Target is one instance to probe, with the slot time set aside for it.
type Target struct {
	Member      route.Member
	Reservation *Reservation
}

// Due reserves budget and returns the instances of which nothing fresh is known.
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

// prune forgets instances that are gone once their last probe is a window old.
func (p *Planner) prune(now int64) {
	known := map[instance.ID]bool{}
	for _, view := range p.views.All() {
		for _, m := range view.Members() {
			known[m.Instance().ID()] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.limiters {
		if !known[id] && e.limiter.lastEndsAt()+int64(e.limiter.window) <= now {
			p.usedByRemoved += e.limiter.Used()
			delete(p.limiters, id)
		}
	}
}

// serves reports whether the service's requests come to this host.
func (p *Planner) serves(view *route.View, now int64) bool {
	last := view.Stats().LastSuccess()
	return last != 0 && now-last < int64(p.cfg.Window) && view.Stats().Rate(now) >= p.cfg.MinRate
}

// fresh reports whether an answer or a probe told of the instance of late.
func (p *Planner) fresh(m route.Member, now int64) bool {
	_, at := m.Load().Reported()
	return now-max(at, m.Load().LatencyAt()) < int64(p.cfg.StaleAfter)
}

// limiter returns the instance's ledger. A changed budget starts a new one with
// a whole window to wait, so that neither the old nor the new is exceeded.
func (p *Planner) limiter(i *instance.Instance, budget float64) *Limiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.limiters[i.ID()]
	if old != nil && old.budget == budget {
		return old.limiter
	}
	plan := LimiterConfig{Budget: budget, Slots: i.Slots(), Hosts: p.cfg.Hosts, Window: p.cfg.Window, MaxDuration: p.cfg.MaxDuration}
	from := p.startedAt
	if old != nil {
		from = max(from, old.limiter.lastEndsAt())
	}
	next := &limiterEntry{limiter: NewLimiter(plan, from), budget: budget}
	p.limiters[i.ID()] = next
	return next.limiter
}

// Used returns the slot time that this host's probes took since the start.
func (p *Planner) Used() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.usedByRemoved
	for _, e := range p.limiters {
		used += e.limiter.Used()
	}
	return used
}
