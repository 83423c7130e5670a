package evidence

import (
	"slices"
	"time"
)

// Timeline holds the lost instances of a book, each incarnation once, the earliest first.
type Timeline struct {
	lost []lostInstance
}

type lostInstance struct {
	instance string
	at       time.Time
	open     int // requests that were in flight there and are not excused
}

// Timeline returns the lost instances as they are known now.
func (b *Book) Timeline() *Timeline {
	byInstance := map[string]lostInstance{}
	for _, r := range b.records {
		for instance, l := range r.losses {
			lost, known := byInstance[instance]
			if !known || l.at.Before(lost.at) {
				lost.at = l.at
			}
			if !l.excused {
				lost.open++
			}
			lost.instance = instance
			byInstance[instance] = lost
		}
	}
	t := &Timeline{lost: make([]lostInstance, 0, len(byInstance))}
	for _, lost := range byInstance {
		t.lost = append(t.lost, lost)
	}
	slices.SortFunc(t.lost, func(a, b lostInstance) int { return a.at.Compare(b.at) })
	return t
}

// Unexplained returns the times of the losses that a request does not explain by itself: it
// was not in flight at the instance, or another request was that is not excused.
func (t *Timeline) Unexplained(r *Record) []time.Time {
	var all []time.Time
	for _, lost := range t.lost {
		l, present := r.losses[lost.instance]
		others := lost.open
		if present && !l.excused {
			others--
		}
		if !present || others > 0 {
			all = append(all, lost.at)
		}
	}
	return all
}

// Alone reports whether an instance was lost under a request while no other one was in flight
// there that is not excused.
func (t *Timeline) Alone(r *Record) bool {
	return slices.ContainsFunc(t.lost, func(lost lostInstance) bool {
		l, present := r.losses[lost.instance]
		return present && !l.excused && lost.open == 1
	})
}
