package poison_test

import (
	"time"

	"pgregory.net/rapid"
)

// course is what happens while poison requests and harmless ones are sent.
type course struct {
	hosts, instances int
	poisons          []sender // each ends the instances that run it
	harmless         []sender
	closeOthers      time.Duration // of an instance that ends, after the link of the request
	closeListener    time.Duration
	restart          time.Duration // after the end
	sameID           bool
	announce         time.Duration // after the start
	reports, polls   time.Duration // of hosts, longest pause between two
	kills            []event       // of a host, which starts again with nothing
	cuts             []event       // of a host from the control host
	strandings       []event       // of a host from all instances
}

// sender sends the same request again and again, to any host.
type sender struct {
	caller, path, method string // no caller: known by its address only
	newKey               bool   // each time
	pause                time.Duration
}

type event struct {
	host int
	at   time.Duration
	last time.Duration
}

var methods = []string{"GET", "PUT", "POST"}

func drawMillis(t *rapid.T, label string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
}

func drawEvents(t *rapid.T, label string, hosts int) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{host: rapid.IntRange(0, hosts-1).Draw(t, "host"), at: drawMillis(t, "at", 4000), last: drawMillis(t, "last", 1000)}
	}), 0, 2).Draw(t, label)
}

var courses = rapid.Custom(func(t *rapid.T) *course {
	c := &course{
		hosts: rapid.IntRange(2, 5).Draw(t, "hosts"), instances: rapid.IntRange(4, 10).Draw(t, "instances"),
		closeOthers: drawMillis(t, "closeOthers", 400), closeListener: drawMillis(t, "closeListener", 400),
		restart: drawMillis(t, "restart", 1500), sameID: rapid.Bool().Draw(t, "sameID"), announce: drawMillis(t, "announce", 500),
		reports: drawMillis(t, "reports", 300), polls: drawMillis(t, "polls", 300),
	}
	c.restart += max(c.closeOthers, c.closeListener)
	paths := []string{"/x/a", "/x/b", "/pay/a"}
	for n := range rapid.IntRange(1, 3).Draw(t, "poisons") {
		path := rapid.SampledFrom(paths).Draw(t, "path")
		s := sender{caller: "studio-" + string(rune('1'+n)), path: path, method: rapid.SampledFrom(methods).Draw(t, "method"), pause: 20*time.Millisecond + drawMillis(t, "pause", 200)}
		if path == "/pay/a" {
			s.method, s.newKey = "POST", rapid.Bool().Draw(t, "newKey")
		}
		c.poisons = append(c.poisons, s)
	}
	// The same targets for other callers, and other targets for the same ones.
	if rapid.Bool().Draw(t, "unnamed") {
		c.poisons = append(c.poisons, sender{path: "/x/unnamed", method: rapid.SampledFrom(methods).Draw(t, "method"), pause: 20*time.Millisecond + drawMillis(t, "pause", 200)})
	}
	for n, s := range c.poisons {
		other := s
		other.caller, other.pause = "clinic-"+string(rune('1'+n)), 30*time.Millisecond+drawMillis(t, "pause", 100)
		same := s
		same.path, same.pause = s.path+"/other", 30*time.Millisecond+drawMillis(t, "pause", 100)
		c.harmless = append(c.harmless, same)
		if s.caller != "" { // else nothing tells another caller from this one
			c.harmless = append(c.harmless, other)
		}
	}
	c.kills, c.cuts, c.strandings = drawEvents(t, "kills", c.hosts), drawEvents(t, "cuts", c.hosts), drawEvents(t, "strandings", c.hosts)
	return c
})
