// Package virtual is a discrete-event simulation that runs the real routing code
// of entry hosts against simulated callers, network and instances in virtual
// time. Runs with the same seed give the same result.
//
// Usage:
//
//	result := virtual.Run(virtual.Scenario{Load: 0.85, Policy: route.NewPowerOfTwo})
//	central := virtual.RunCentralQueue(scenario)
//	ratio := result.Quantile(0.99) / central.Quantile(0.99)
package virtual

import "container/heap"

// clock is the event queue of a simulation. Events at the same time run in the
// order in which they were scheduled.
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

// at schedules a function at a time.
func (c *clock) at(t int64, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: t, seq: c.seq, run: run})
}

// after schedules a function after a delay.
func (c *clock) after(d int64, run func()) { c.at(c.now+d, run) }

// run processes events until none are left or the next one is after the end.
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

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
