package limit

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
)

// MaxCallers is the number of callers that a host tracks at the same time.
const MaxCallers = 16384

// shards is the number of shards, each with its own lock.
const shards = 16

// Caller tracks the requests in flight and the rate of one caller.
type Caller struct {
	inFlight atomic.Int32
	rate     Rate
	usedAt   atomic.Int64
}

// TryAcquire counts a request as in flight unless the caller has reached the limit.
func (c *Caller) TryAcquire(limit int) bool {
	for {
		n := c.inFlight.Load()
		if int(n) >= limit {
			return false
		}
		if c.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release ends a request that TryAcquire counted.
func (c *Caller) Release() { c.inFlight.Add(-1) }

// InFlight returns the caller's requests in flight.
func (c *Caller) InFlight() int { return int(c.inFlight.Load()) }

// Rate returns the caller's rate limiter.
func (c *Caller) Rate() *Rate { return &c.rate }

// Callers tracks a bounded number of callers by key. To make room it evicts callers
// without requests in flight, by approximate least recent use.
type Callers[K comparable] struct {
	seed        maphash.Seed
	maxPerShard int
	shards      [shards]shard[K]
}

type shard[K comparable] struct {
	mu  sync.Mutex
	all map[K]*Caller
}

// NewCallers returns a table of up to limit callers.
func NewCallers[K comparable](limit int) *Callers[K] {
	t := &Callers[K]{seed: maphash.MakeSeed(), maxPerShard: max(limit/shards, 1)}
	for n := range t.shards {
		t.shards[n].all = map[K]*Caller{}
	}
	return t
}

// Get returns the caller with the key and adds it if it is not tracked.
func (t *Callers[K]) Get(key K, now int64) *Caller {
	s := &t.shards[maphash.Comparable(t.seed, key)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.all[key]
	if c == nil {
		if len(s.all) >= t.maxPerShard {
			s.evict()
		}
		c = &Caller{}
		s.all[key] = c
	}
	c.usedAt.Store(now)
	return c
}

// Len returns the number of tracked callers.
func (t *Callers[K]) Len() int {
	n := 0
	for i := range t.shards {
		t.shards[i].mu.Lock()
		n += len(t.shards[i].all)
		t.shards[i].mu.Unlock()
	}
	return n
}

// evictionSample is the number of idle callers that an eviction considers.
const evictionSample = 8

// evict removes the least recently used of a few callers without requests in flight.
func (s *shard[K]) evict() {
	var victim K
	var oldest *Caller
	considered := 0
	for key, c := range s.all {
		if c.InFlight() > 0 {
			continue
		}
		if oldest == nil || c.usedAt.Load() < oldest.usedAt.Load() {
			victim, oldest = key, c
		}
		if considered++; considered == evictionSample {
			break
		}
	}
	if oldest != nil {
		delete(s.all, victim)
	}
}
