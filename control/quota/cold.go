package quota

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Constants of the grants to cold instances. In any second all hosts together send at most
// what was saved, and what was granted in that second and the validity before it. That is at
// most 1.5 times the rate and 4 requests. The bound is 1.5 times the rate and 8; the rest is
// for a former leader that still grants, and for hosts that nobody grants any.
const (
	// maxColdSaved bounds the unused requests of a cold instance that are saved. With 1, the
	// part of a request that is earned while a whole one waits for the next call is lost.
	maxColdSaved = 2
	// heldCold is the number of requests by which the grants in use may exceed those of half
	// a second.
	heldCold = 2
)

// coldValidity returns how long an entry host may use a grant to a cold instance.
func coldValidity(perSecond float64) time.Duration {
	held := time.Duration(heldCold / max(perSecond, minPerSecond) * float64(time.Second))
	return min(Validity, Validity/3+held)
}

// coldRate returns the requests a second that a cold instance of the request's service may
// get from all entry hosts together, 0 if there is no limit.
func (s *Service) coldRate(req *wire.GrantRequest) float64 {
	if len(req.GetCold()) == 0 {
		return 0
	}
	return s.terms(req.GetService()).ColdRate()
}

// coldCandidates returns the cold instances of a request with their buckets. One that has
// named a rate limit gets the lower one of both. Grants of that limit by an earlier leader
// may be far more, but hosts drop them when they hear that the instance is cold.
func (s *Service) coldCandidates(req *wire.GrantRequest, perSecond float64, leadsSince, now time.Time) []candidate {
	var candidates []candidate
	for _, id := range req.GetCold() {
		limit := perSecond
		if named := s.fleet.RateLimit(id, now); named != nil && !named.GetEnded() {
			limit = min(limit, named.GetPerSecond())
		}
		candidates = append(candidates, candidate{instance: id, bucket: s.coldBucket(id, limit, leadsSince, now)})
	}
	return candidates
}

// coldBucket returns the bucket of a cold instance, filled until now. It is empty when the
// term of the leader begins, so that a new leader can grant at once: with those of its
// predecessors its grants are no more than those of one leader.
func (s *Service) coldBucket(id string, perSecond float64, leadsSince, now time.Time) *bucket {
	perSecond = max(perSecond, minPerSecond)
	b := s.buckets[id]
	if b == nil {
		b = &bucket{at: leadsSince}
		s.buckets[id] = b
	}
	b.fill(perSecond, maxColdSaved, now)
	return b
}
