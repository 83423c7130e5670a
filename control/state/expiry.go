package state

import (
	"slices"
	"time"
)

// bucketWidth is the resolution of expiry in nanoseconds: all items of a bucket
// expire together, once the last of them is due.
const bucketWidth = int64(10 * time.Second)

// expiryQueue finds the items that are due. It groups them in buckets of time, so
// that adding and removing an item take constant time.
type expiryQueue[T any] struct {
	buckets    map[int64][]T
	setIndex   func(item T, index int)
	nextBucket int64 // all buckets before it have expired
}

// newExpiryQueue returns an empty queue. It calls setIndex with the position of an
// item in its bucket whenever that changes.
func newExpiryQueue[T any](setIndex func(item T, index int)) expiryQueue[T] {
	return expiryQueue[T]{buckets: map[int64][]T{}, setIndex: setIndex}
}

func (e *expiryQueue[T]) add(item T, at int64) {
	b := at / bucketWidth
	e.setIndex(item, len(e.buckets[b]))
	e.buckets[b] = append(e.buckets[b], item)
}

func (e *expiryQueue[T]) remove(at int64, index int) {
	b := at / bucketWidth
	items := e.buckets[b]
	last := len(items) - 1
	items[index] = items[last]
	e.setIndex(items[index], index)
	clear(items[last:])
	if last == 0 {
		delete(e.buckets, b)
		return
	}
	e.buckets[b] = items[:last]
}

// expire removes every bucket that ends at or before clock, in order of time, and
// calls drop for its items.
func (e *expiryQueue[T]) expire(clock int64, drop func(T)) {
	now := clock / bucketWidth
	if now <= e.nextBucket {
		return
	}
	e.nextBucket = now
	var due []int64
	for b := range e.buckets {
		if b < now {
			due = append(due, b)
		}
	}
	slices.Sort(due)
	for _, b := range due {
		for _, item := range e.buckets[b] {
			drop(item)
		}
		delete(e.buckets, b)
	}
}
