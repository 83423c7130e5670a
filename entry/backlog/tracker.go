// Package backlog tracks the requests of this host: queued, in flight, completed
// and the age of the oldest one. The counts are local; instances are not queried.
// A request whose body is being transferred, in either direction, is not waiting
// for the instance and does not count towards a backlog.
//
// Usage:
//
//	req := tracker.Track("catalogue", now)
//	req.SetID(id)
//	req.Dispatched("catalogue-1", now)
//	req.Sent(now)            // the whole request is written
//	req.ResponseStarted(now) // the first byte of the response has arrived
//	req.End(false, now)
//
//	monitor := backlog.NewMonitor(tracker, config, logger)
//	go monitor.Run(ctx)
package backlog

import (
	"sort"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Tracker tracks the requests of all services.
type Tracker struct {
	mu       sync.RWMutex
	services map[string]*serviceTracker
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{services: map[string]*serviceTracker{}} }

// Track adds a request that has just arrived to the queue of its service.
func (t *Tracker) Track(service string, now time.Time) *Request {
	s := t.service(service)
	r := &Request{service: s, phase: Queued, arrivedAt: now}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued.add(r)
	s.stats.arrive()
	return r
}

func (t *Tracker) service(name string) *serviceTracker {
	t.mu.RLock()
	s := t.services[name]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s = t.services[name]; s == nil {
		s = newServiceTracker(name)
		t.services[name] = s
	}
	return s
}

func (t *Tracker) sorted() []*serviceTracker {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]*serviceTracker, 0, len(t.services))
	for _, s := range t.services {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// Services returns one message per service, followed by one per instance with
// a growing backlog, sorted by name.
func (t *Tracker) Services(now time.Time) []*wire.ServiceBacklog {
	var msgs []*wire.ServiceBacklog
	for _, s := range t.sorted() {
		msgs = append(msgs, s.messages(now)...)
	}
	return msgs
}

// InFlight returns the number of requests on this host and the age of the
// oldest.
func (t *Tracker) InFlight(now time.Time) (int, time.Duration) {
	total, oldest := 0, time.Duration(0)
	for _, s := range t.sorted() {
		n, age := s.inFlight(now)
		total += n
		oldest = max(oldest, age)
	}
	return total, oldest
}

// serviceTracker tracks the requests of one service.
type serviceTracker struct {
	name string

	mu           sync.Mutex
	queued       requestList
	transferring requestList // a request or response body is being transferred
	instances    map[instance.ID]*instanceTracker
	stats        stats
	latency      latencyWindow
}

// instanceTracker tracks the requests dispatched to one instance of a service.
type instanceTracker struct {
	id       instance.ID
	awaiting requestList // fully written, the response has not started
	stats    stats
}

func newServiceTracker(name string) *serviceTracker {
	return &serviceTracker{name: name, instances: map[instance.ID]*instanceTracker{}}
}

func (t *serviceTracker) instance(id instance.ID) *instanceTracker {
	i := t.instances[id]
	if i == nil {
		i = &instanceTracker{id: id}
		t.instances[id] = i
	}
	return i
}

// inFlight returns the number of requests on this host and the age of the
// oldest.
func (t *serviceTracker) inFlight(now time.Time) (int, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.queued.n + t.transferring.n
	oldest := max(t.queued.age(now), t.transferring.age(now))
	for _, i := range t.instances {
		n += i.awaiting.n
		oldest = max(oldest, i.awaiting.age(now))
	}
	return n, oldest
}

// awaitingAge returns the age of the oldest request that is queued or awaits
// a response.
func (t *serviceTracker) awaitingAge(now time.Time) time.Duration {
	oldest := t.queued.age(now)
	for _, i := range t.instances {
		oldest = max(oldest, i.awaiting.age(now))
	}
	return oldest
}

func (t *serviceTracker) messages(now time.Time) []*wire.ServiceBacklog {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := t.stats.message(t.name)
	total.Queued = uint32(t.queued.n)
	total.InFlight = uint32(t.transferring.n)
	total.OldestNs = int64(t.awaitingAge(now))
	total.P50Ns, total.P99Ns, total.P999Ns = int64(t.latency.p50), int64(t.latency.p99), int64(t.latency.p999)
	msgs := []*wire.ServiceBacklog{total}
	for id, i := range t.instances {
		total.InFlight += uint32(i.awaiting.n)
		if i.stats.alarm == nil {
			continue
		}
		msg := i.stats.message(t.name)
		msg.Instance = string(id)
		msg.InFlight = uint32(i.awaiting.n)
		msg.OldestNs = int64(i.awaiting.age(now))
		msgs = append(msgs, msg)
	}
	sort.Slice(msgs[1:], func(i, j int) bool { return msgs[i+1].GetInstance() < msgs[j+1].GetInstance() })
	return msgs
}
