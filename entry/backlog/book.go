// Package backlog counts requests as this host sees them: waiting, in flight,
// finished, and how old the oldest one is. It does not ask the servers. A
// request whose body is on its way, in either direction, is not waiting for
// the server and is no part of a backlog.
//
// Usage:
//
//	stay := book.Arrive("catalogue", now)
//	stay.Start("catalogue-1", now) // dispatched
//	stay.Sent(now)                 // the whole request is written
//	stay.Answering(now)            // the answer has begun
//	stay.End(false, now)
//
//	watch := backlog.NewWatch(book, terms, logger)
//	go watch.Run(ctx)
package backlog

import (
	"sort"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Tracker holds the accounts of all services.
type Tracker struct {
	mu       sync.RWMutex
	accounts map[string]*account
}

// NewTracker returns an empty book.
func NewTracker() *Tracker { return &Tracker{accounts: map[string]*account{}} }

// Track records a request's arrival.
func (b *Tracker) Track(service string, now time.Time) *Request {
	a := b.account(service)
	s := &Request{account: a, arrivedAt: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queued.add(s)
	a.whole.arrive()
	return s
}

func (b *Tracker) account(service string) *account {
	b.mu.RLock()
	a := b.accounts[service]
	b.mu.RUnlock()
	if a != nil {
		return a
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a = b.accounts[service]; a == nil {
		a = newAccount(service)
		b.accounts[service] = a
	}
	return a
}

func (b *Tracker) all() []*account {
	b.mu.RLock()
	defer b.mu.RUnlock()
	all := make([]*account, 0, len(b.accounts))
	for _, a := range b.accounts {
		all = append(all, a)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].service < all[j].service })
	return all
}

// Services returns a line for each service and for each instance behind which
// a backlog grows, in order of names.
func (b *Tracker) Services(now time.Time) []*wire.ServiceBacklog {
	var lines []*wire.ServiceBacklog
	for _, a := range b.all() {
		lines = append(lines, a.lines(now)...)
	}
	return lines
}

// InFlight returns how many requests are at this host and the oldest's age.
func (b *Tracker) InFlight(now time.Time) (int, time.Duration) {
	total, oldest := 0, time.Duration(0)
	for _, a := range b.all() {
		n, age := a.present(now)
		total += n
		oldest = max(oldest, age)
	}
	return total, oldest
}

// account is one service's part of the book.
type account struct {
	service string

	mu        sync.Mutex
	queued    stayList
	moving    stayList // a body is on its way
	instances map[instance.ID]*instanceAccount
	whole     ledger
	latency   window
}

// instanceAccount is one instance's part of an account.
type instanceAccount struct {
	awaiting stayList // the whole request is written, no answer has begun
	ledger   ledger
}

func newAccount(service string) *account {
	return &account{service: service, instances: map[instance.ID]*instanceAccount{}}
}

func (a *account) instance(id instance.ID) *instanceAccount {
	i := a.instances[id]
	if i == nil {
		i = &instanceAccount{}
		a.instances[id] = i
	}
	return i
}

// present returns how many requests are at this host and the oldest's age.
func (a *account) present(now time.Time) (int, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.queued.n + a.moving.n
	oldest := max(a.queued.age(now), a.moving.age(now))
	for _, i := range a.instances {
		n += i.awaiting.n
		oldest = max(oldest, i.awaiting.age(now))
	}
	return n, oldest
}

// awaitingAge returns the age of the oldest request that waits for an instance
// or its answer.
func (a *account) awaitingAge(now time.Time) time.Duration {
	oldest := a.queued.age(now)
	for _, i := range a.instances {
		oldest = max(oldest, i.awaiting.age(now))
	}
	return oldest
}

func (a *account) lines(now time.Time) []*wire.ServiceBacklog {
	a.mu.Lock()
	defer a.mu.Unlock()
	line := a.whole.line(a.service)
	line.Queued = uint32(a.queued.n)
	line.InFlight = uint32(a.moving.n)
	line.OldestNs = int64(a.awaitingAge(now))
	line.P50Ns, line.P99Ns, line.P999Ns = int64(a.latency.p50), int64(a.latency.p99), int64(a.latency.p999)
	lines := []*wire.ServiceBacklog{line}
	for id, i := range a.instances {
		line.InFlight += uint32(i.awaiting.n)
		if i.ledger.alarm == nil {
			continue
		}
		one := i.ledger.line(a.service)
		one.Instance = string(id)
		one.InFlight = uint32(i.awaiting.n)
		one.OldestNs = int64(i.awaiting.age(now))
		lines = append(lines, one)
	}
	sort.Slice(lines[1:], func(i, j int) bool { return lines[i+1].GetInstance() < lines[j+1].GetInstance() })
	return lines
}
