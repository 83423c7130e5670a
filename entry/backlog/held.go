package backlog

import (
	"cmp"
	"slices"
	"time"

	"github.com/snipebeam/snipebeam/world/instance"
)

// Phase is how far a request has come.
type Phase string

// Phases of a request.
const (
	Queued     Phase = "queued"     // has no instance
	Receiving  Phase = "receiving"  // dispatched, its body is still being received and forwarded
	Awaiting   Phase = "awaiting"   // sent, the response has not started
	Responding Phase = "responding" // the response is being forwarded
)

// Held is a request on this host at one point in time.
type Held struct {
	ID       string
	Service  string
	Instance instance.ID // empty while it is queued
	Phase    Phase
	Age      time.Duration // since it arrived at this host
}

// Held returns all requests on this host, the oldest first.
func (t *Tracker) Held(now time.Time) []Held {
	var all []Held
	for _, s := range t.sorted() {
		all = s.appendHeld(all, now)
	}
	slices.SortStableFunc(all, func(a, b Held) int { return cmp.Compare(b.Age, a.Age) })
	return all
}

func (t *serviceTracker) appendHeld(all []Held, now time.Time) []Held {
	t.mu.Lock()
	defer t.mu.Unlock()
	all = t.queued.appendHeld(all, now)
	all = t.transferring.appendHeld(all, now)
	for _, i := range t.instances {
		all = i.awaiting.appendHeld(all, now)
	}
	return all
}

func (l *requestList) appendHeld(all []Held, now time.Time) []Held {
	for r := l.first; r != nil; r = r.next {
		held := Held{ID: r.id, Service: r.service.name, Phase: r.phase, Age: max(now.Sub(r.arrivedAt), 0)}
		if r.instance != nil {
			held.Instance = r.instance.id
		}
		all = append(all, held)
	}
	return all
}
