package fleet

import (
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// maxRateLimits bounds the instances whose rate limits are kept. Hosts state the limit
// of an evicted one again with their next request for a grant.
const maxRateLimits = 8192

// rateLimits holds the rate limits that instances announced, as entry hosts heard them.
type rateLimits struct {
	mu       sync.Mutex
	all      map[string]*rateLimit // by instance
	revision uint64
	notify   chan struct{} // closed at the next change
}

type rateLimit struct {
	perSecond float64
	ended     bool
	heardAt   time.Time // by this host's clock
	revision  uint64    // of the last change of the value
}

func newRateLimits() rateLimits {
	return rateLimits{all: map[string]*rateLimit{}, notify: make(chan struct{})}
}

// AddRateLimits merges the limits that an entry host heard. The latest one that an
// instance stated applies, in whatever order the reports arrive.
func (f *Fleet) AddRateLimits(heard []*wire.RateLimit, now time.Time) {
	if len(heard) == 0 {
		return
	}
	l := &f.rateLimits
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.revision
	for _, limit := range heard {
		l.merge(limit, now)
	}
	if l.revision != before {
		close(l.notify)
		l.notify = make(chan struct{})
	}
}

func (l *rateLimits) merge(heard *wire.RateLimit, now time.Time) {
	next := &rateLimit{perSecond: heard.GetPerSecond(), ended: heard.GetEnded(), heardAt: now.Add(-time.Duration(max(heard.GetAgeNs(), 0)))}
	old := l.all[heard.GetInstance()]
	switch {
	case old == nil && next.ended:
		return
	case old != nil && !next.heardAt.After(old.heardAt):
		return
	case old != nil && next.ended == old.ended && next.perSecond == old.perSecond:
		next.revision = old.revision
	default:
		l.revision++
		next.revision = l.revision
	}
	if old == nil && len(l.all) >= maxRateLimits {
		l.evictOldest()
	}
	l.all[heard.GetInstance()] = next
}

func (l *rateLimits) evictOldest() {
	oldest := ""
	for instance, limit := range l.all {
		if oldest == "" || limit.heardAt.Before(l.all[oldest].heardAt) {
			oldest = instance
		}
	}
	delete(l.all, oldest)
}

// RateLimits returns the rate limits that changed after the given revision, and the
// latest revision. Revisions are local to this control host.
func (f *Fleet) RateLimits(after uint64, now time.Time) ([]*wire.RateLimit, uint64) {
	l := &f.rateLimits
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []*wire.RateLimit
	if after == l.revision {
		return nil, after
	}
	for instance, limit := range l.all {
		if limit.revision > after || after > l.revision {
			changed = append(changed, limit.wire(instance, now))
		}
	}
	return changed, l.revision
}

// RateLimit returns the rate limit of one instance, nil if none is known.
func (f *Fleet) RateLimit(instance string, now time.Time) *wire.RateLimit {
	l := &f.rateLimits
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.all[instance]
	if limit == nil {
		return nil
	}
	return limit.wire(instance, now)
}

func (r *rateLimit) wire(instance string, now time.Time) *wire.RateLimit {
	return &wire.RateLimit{Instance: instance, PerSecond: r.perSecond, Ended: r.ended, AgeNs: int64(now.Sub(r.heardAt))}
}

// RateLimitsChanged returns a channel that is closed at the next change of a rate limit.
func (f *Fleet) RateLimitsChanged() <-chan struct{} {
	f.rateLimits.mu.Lock()
	defer f.rateLimits.mu.Unlock()
	return f.rateLimits.notify
}
