package quota

import (
	"math"
	"slices"
	"time"
)

func (h *holding) rateAt(now int64) float64 {
	return h.rate * math.Exp(-float64(now-h.usedAt)/float64(demandDecay))
}

// want returns the size of the reserve: one request of an organisation that was served
// recently, and what it is likely to send while the leader changes.
func (h *holding) want(now int64) int {
	if now-h.usedAt >= int64(recent) {
		return 0
	}
	return 1 + int(h.rateAt(now)*horizon.Seconds())
}

// usable returns a bundle with a free token, nil if there is none. Those that expire first
// are first.
func (h *holding) usable(now int64) *bundle {
	var best *bundle
	for _, b := range h.others {
		if b.free > 0 && b.valid(now) && (best == nil || b.until < best.until) {
			best = b
		}
	}
	if best == nil && h.current.free > 0 && h.current.valid(now) {
		return h.current
	}
	return best
}

// expire drops the bundles that have expired.
func (h *holding) expire(now int64) {
	if !h.current.valid(now) {
		h.current, h.returning = &bundle{}, 0
	}
	h.others = slices.DeleteFunc(h.others, func(b *bundle) bool { return !b.valid(now) })
}

// free lets all waiting requests go, as the organisation's limit has ended.
func (h *holding) free() {
	for _, r := range h.waiting {
		r.decide(nil, nil)
	}
	h.waiting = nil
}

// refuse refuses the requests of a call that cannot wait for as long as the leader says.
func (h *holding) refuse(call uint64, retryAfter time.Duration, now int64) {
	h.askAt = now + int64(retryAfter)
	h.waiting = slices.DeleteFunc(h.waiting, func(r *Request) bool {
		if r.asked != call {
			return false
		}
		r.refused = retryAfter
		if h.askAt < r.limitUntil {
			return false
		}
		r.refuse(retryAfter)
		return true
	})
}

// empty reports whether nothing is known that a later request needs.
func (h *holding) empty(now int64) bool {
	return len(h.waiting) == 0 && len(h.others) == 0 && now-h.usedAt >= int64(recent)
}
