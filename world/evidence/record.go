package evidence

import (
	"slices"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Loss is the loss of one incarnation of an instance while a request was in flight there.
type Loss struct {
	instance string
	at       time.Time
	excused  bool
}

// Instance returns the lost instance with its incarnation.
func (l Loss) Instance() string { return l.instance }

// At returns the time of the loss, by the clock of this process.
func (l Loss) At() time.Time { return l.at }

// Record holds the losses under one request.
type Record struct {
	losses map[string]Loss
	latest time.Time
	open   int // losses that are not excused
}

// Change is what a merge changed.
type Change int

// Changes, from the least to the most important one.
const (
	Unchanged Change = iota
	Excused          // a loss is excused
	Added            // a loss is new
)

// add merges one loss: the earliest time holds, and an excuse is never taken back.
func (r *Record) add(l Loss) Change {
	old, known := r.losses[l.instance]
	change := Unchanged
	switch {
	case !known:
		change = Added
	default:
		if l.excused && !old.excused {
			change = Excused
		}
		l.excused = l.excused || old.excused
		if old.at.Before(l.at) {
			l.at = old.at
		}
	}
	if r.losses == nil {
		r.losses = map[string]Loss{}
	}
	r.losses[l.instance] = l
	r.count()
	return change
}

func (r *Record) excuse() Change {
	change := Unchanged
	for instance, l := range r.losses {
		if !l.excused {
			l.excused = true
			r.losses[instance] = l
			change = Excused
		}
	}
	r.count()
	return change
}

func (r *Record) count() {
	r.open, r.latest = 0, time.Time{}
	for _, l := range r.losses {
		if !l.excused {
			r.open++
		}
		if l.at.After(r.latest) {
			r.latest = l.at
		}
	}
}

// Open returns the losses that are not excused, the earliest first.
func (r *Record) Open() []Loss {
	all := make([]Loss, 0, r.open)
	for _, l := range r.losses {
		if !l.excused {
			all = append(all, l)
		}
	}
	slices.SortFunc(all, compare)
	return all
}

func compare(a, b Loss) int {
	if by := a.at.Compare(b.at); by != 0 {
		return by
	}
	if a.instance < b.instance {
		return -1
	}
	return 1
}

// Message returns the record as it is sent to other processes.
func (r *Record) Message(fingerprint uint64, now time.Time) *wire.Suspect {
	all := make([]Loss, 0, len(r.losses))
	for _, l := range r.losses {
		all = append(all, l)
	}
	slices.SortFunc(all, compare)
	m := &wire.Suspect{Fingerprint: fingerprint}
	for _, l := range all {
		if !l.excused {
			m.Instances = append(m.Instances, l.instance)
		}
		m.Losses = append(m.Losses, &wire.Loss{Instance: l.instance, AgeMs: now.Sub(l.at).Milliseconds(), Excused: l.excused})
	}
	return m
}

// lossesOf returns the losses of a message received now. A message of a build that sends no ages
// is as old as its receipt.
func lossesOf(m *wire.Suspect, now time.Time) []Loss {
	var all []Loss
	for _, l := range m.GetLosses() {
		all = append(all, Loss{instance: l.GetInstance(), at: now.Add(-age(l)), excused: l.GetExcused()})
	}
	if len(all) > 0 {
		return all
	}
	for _, instance := range m.GetInstances() {
		all = append(all, Loss{instance: instance, at: now})
	}
	return all
}

// age returns the age of a loss, within what can be computed with.
func age(l *wire.Loss) time.Duration {
	return time.Duration(min(max(l.GetAgeMs(), 0), Lifetime.Milliseconds()+1)) * time.Millisecond
}
