package limit

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
)

// MaxCallers is how many callers are remembered at once.
const MaxCallers = 16384

// shards spreads callers over locks.
const shards = 16

// Caller is what one caller has in flight, and its rate.
type Caller struct {
	inFlight atomic.Int32
	rate     Rate
	usedAt   atomic.Int64
}

// TryAcquire counts a request unless the caller has as many in flight already.
func (c *Caller) TryAcquire(most int) bool {
	for {
		n := c.inFlight.Load()
		if int(n) >= most {
			return false
		}
		if c.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release ends a request.
func (c *Caller) Release() { c.inFlight.Add(-1) }

// InFlight returns the caller's requests in flight.
func (c *Caller) InFlight() int { return int(c.inFlight.Load()) }

// Rate returns the caller's rate.
func (c *Caller) Rate() *Rate { return &c.rate }

// Callers remembers a bounded number of callers by key. Those with nothing in
// flight that were idle longest are forgotten first.
type Callers[K comparable] struct {
	seed   maphash.Seed
	most   int // in each shard
	shards [shards]shard[K]
}

type shard[K comparable] struct {
	mu  sync.Mutex
	all map[K]*Caller
}

// NewCallers returns a table of up to most callers.
func NewCallers[K comparable](most int) *Callers[K] {
	t := &Callers[K]{seed: maphash.MakeSeed(), most: max(most/shards, 1)}
	for n := range t.shards {
		t.shards[n].all = map[K]*Caller{}
	}
	return t
}

// Get returns a caller.
func (t *Callers[K]) Get(key K, now int64) *Caller {
	s := &t.shards[maphash.Comparable(t.seed, key)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.all[key]
	if c == nil {
		if len(s.all) >= t.most {
			s.forget()
		}
		c = &Caller{}
		s.all[key] = c
	}
	c.usedAt.Store(now)
	return c
}

// Len returns how many callers are remembered.
func (t *Callers[K]) Len() int {
	n := 0
	for i := range t.shards {
		t.shards[i].mu.Lock()
		n += len(t.shards[i].all)
		t.shards[i].mu.Unlock()
	}
	return n
}

// sampled is how many callers are looked at to find one to forget.
const sampled = 8

// forget drops the longest idle of a few callers that have nothing in flight.
func (s *shard[K]) forget() {
	var victim K
	var oldest *Caller
	seen := 0
	for key, c := range s.all {
		if c.InFlight() > 0 {
			continue
		}
		if oldest == nil || c.usedAt.Load() < oldest.usedAt.Load() {
			victim, oldest = key, c
		}
		if seen++; seen == sampled {
			break
		}
	}
	if oldest != nil {
		delete(s.all, victim)
	}
}
