package state

import (
	"slices"
	"time"
)

// bucketWidth is how exactly expiry is kept: what a bucket holds is forgotten
// together, after the last of it is due.
const bucketWidth = int64(10 * time.Second)

// expiry finds what is due. Adding and removing cost the same however much it
// holds.
type expiry[T any] struct {
	buckets map[int64][]T
	placed  func(item T, place int)
	passed  int64 // all buckets before it are gone
}

// newExpiry returns an empty expiry; placed is told where an item stands.
func newExpiry[T any](placed func(item T, place int)) expiry[T] {
	return expiry[T]{buckets: map[int64][]T{}, placed: placed}
}

func (e *expiry[T]) add(item T, at int64) {
	b := at / bucketWidth
	e.placed(item, len(e.buckets[b]))
	e.buckets[b] = append(e.buckets[b], item)
}

func (e *expiry[T]) remove(at int64, place int) {
	b := at / bucketWidth
	items := e.buckets[b]
	last := len(items) - 1
	items[place] = items[last]
	e.placed(items[place], place)
	clear(items[last:])
	if last == 0 {
		delete(e.buckets, b)
		return
	}
	e.buckets[b] = items[:last]
}

// expire takes out every bucket that lies wholly in the past.
func (e *expiry[T]) expire(clock int64, forget func(T)) {
	now := clock / bucketWidth
	if now <= e.passed {
		return
	}
	e.passed = now
	var due []int64
	for b := range e.buckets {
		if b < now {
			due = append(due, b)
		}
	}
	slices.Sort(due)
	for _, b := range due {
		for _, item := range e.buckets[b] {
			forget(item)
		}
		delete(e.buckets, b)
	}
}
