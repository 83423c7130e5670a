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
	settings  Config
	views     *route.Views
	terms     func(service string) *contract.Service
	startedAt int64

	mu         sync.Mutex
	ledgers    map[instance.ID]*entry
	usedByGone time.Duration // slot time of instances that are forgotten
}

type entry struct {
	ledger *Limiter
	budget float64
}

// NewPlanner returns a planner of a host that started at a time.
func NewPlanner(s Config, views *route.Views, terms func(service string) *contract.Service, startedAt int64) *Planner {
	return &Planner{settings: s, views: views, terms: terms, startedAt: startedAt, ledgers: map[instance.ID]*entry{}}
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
			if r := p.ledger(m.Instance(), budget).Reserve(now); r != nil {
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
	for id, e := range p.ledgers {
		if !known[id] && e.ledger.lastEnd()+int64(e.ledger.window) <= now {
			p.usedByGone += e.ledger.Used()
			delete(p.ledgers, id)
		}
	}
}

// serves reports whether the service's requests come to this host.
func (p *Planner) serves(view *route.View, now int64) bool {
	last := view.Stats().LastSuccess()
	return last != 0 && now-last < int64(p.settings.Window) && view.Stats().Rate(now) >= p.settings.MinRate
}

// fresh reports whether an answer or a probe told of the instance of late.
func (p *Planner) fresh(m route.Member, now int64) bool {
	_, at := m.Load().Reported()
	return now-max(at, m.Load().LatencyAt()) < int64(p.settings.StaleAfter)
}

// ledger returns the instance's ledger. A changed budget starts a new one with
// a whole window to wait, so that neither the old nor the new is exceeded.
func (p *Planner) ledger(i *instance.Instance, budget float64) *Limiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.ledgers[i.ID()]
	if old != nil && old.budget == budget {
		return old.ledger
	}
	plan := LimiterConfig{Budget: budget, Slots: i.Slots(), Hosts: p.settings.Hosts, Window: p.settings.Window, MaxDuration: p.settings.MaxDuration}
	from := p.startedAt
	if old != nil {
		from = max(from, old.ledger.lastEnd())
	}
	next := &entry{ledger: NewLimiter(plan, from), budget: budget}
	p.ledgers[i.ID()] = next
	return next.ledger
}

// Used returns the slot time that this host's probes took since the start.
func (p *Planner) Used() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.usedByGone
	for _, e := range p.ledgers {
		used += e.ledger.Used()
	}
	return used
}
