// Package admission decides which part of the demand for a service entry hosts admit while
// it exceeds the capacity. It is pure: figures in, shares out, without a clock.
//
// The unit of demand and capacity is a slot of an instance: requests a second times the
// time that one occupies a slot. Every flow, that is the requests of one organisation and
// one level, gets a floor, so that no organisation is served far less often than all
// together. The rest goes to the levels in order of urgency, and then to what single
// organisations send far beyond their usual rate, so that it costs no other organisation
// anything, whatever the ranks. In the level that cannot be served whole, organisations get
// max-min fair shares, weighted by what each usually sends.
//
// Usage:
//
//	c := admission.New()
//	for { // at an interval
//		entries := c.Step(interval, services)
//	}
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Level is the urgency of requests: the rank of the organisation goes before that of the
// route. The most urgent one is zero.
type Level struct{ Organisation, Route int }

func (l Level) compare(other Level) int {
	return cmp.Or(cmp.Compare(l.Organisation, other.Organisation), cmp.Compare(l.Route, other.Route))
}

// Demand is that of one organisation and level, summed over all entry hosts.
type Demand struct {
	Level        Level
	Organisation string // empty: none
	Arrivals     float64
	Refused      float64 // a second, by the hosts themselves for lack of capacity
	Served       float64 // a second
	Slots        float64 // that those served occupied, on average
}

// Service holds the figures of one service.
type Service struct {
	Name   string
	Slots  float64 // of the instances that take requests
	Queued float64 // requests that wait at the hosts
	Demand []Demand
}

// Entry is the part of the requests that is admitted. Requests without an entry are all
// admitted.
type Entry struct {
	Service      string
	Level        Level
	Organisation string // empty: those of the level without an entry of their own
	Share        float64
}

// forgetAfter is the time without demand after which what is known of a service is dropped.
const forgetAfter = 30 * time.Minute

// Controller holds what is known of each service from earlier steps.
type Controller struct{ services map[string]*service }

// New returns a controller that has seen no demand.
func New() *Controller { return &Controller{services: map[string]*service{}} }

// Step takes the figures of the interval since the last step, and returns the entries in
// order. The result depends on the steps alone.
func (c *Controller) Step(interval time.Duration, figures []Service) []Entry {
	seen := map[string]bool{}
	var entries []Entry
	for _, f := range figures {
		s := c.services[f.Name]
		if s == nil {
			s = newService(f.Name)
			c.services[f.Name] = s
		}
		seen[f.Name], s.idle = true, 0
		entries = append(entries, s.step(interval, f)...)
	}
	for name, s := range c.services {
		if seen[name] {
			continue
		}
		s.rest()
		if s.idle += interval; s.idle > forgetAfter {
			delete(c.services, name)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), a.Level.compare(b.Level), cmp.Compare(a.Organisation, b.Organisation))
	})
	return entries
}
