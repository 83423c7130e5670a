// Package virtual runs the real routing code of entry hosts against fakes of
// callers, links and instances in virtual time, with fixed seeds.
//
// Usage:
//
//	result := virtual.Run(virtual.Scenario{Load: 0.85, Policy: route.NewPowerOfTwo})
//	central := virtual.Central(scenario)
//	ratio := result.P(0.99) / central.P(0.99)
package virtual

import "container/heap"

// clock runs events in the order of their times.
type clock struct {
	now    int64 // nanoseconds
	seq    uint64
	events events
}

type event struct {
	at  int64
	seq uint64
	run func()
}

// at runs a function at a time.
func (c *clock) at(t int64, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: t, seq: c.seq, run: run})
}

// after runs a function after a delay.
func (c *clock) after(d int64, run func()) { c.at(c.now+d, run) }

// run runs events until none are left or the end has passed.
func (c *clock) run(end int64) {
	for len(c.events) > 0 {
		next := heap.Pop(&c.events).(event)
		if next.at > end {
			return
		}
		c.now = next.at
		next.run()
	}
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event at the end.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
