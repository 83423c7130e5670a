package admission

import "slices"

// Floors: how often an organisation is served at least, as a part of how often all are. The
// requirement is a quarter. The margin of the regular demand covers what hosts refuse
// themselves, which are less urgent requests first.
//
// The floor of an organisation goes to its more urgent requests first, but urgentFirst times
// as much at most, which is also the floor of the more urgent levels of others.
const (
	urgentFirst  = 1.25
	regularFloor = 0.5
	surplusFloor = 0.28
)

// surplusAbove is the multiple of its usual rate beyond which the demand of an organisation
// is surplus, if others send what they usually do.
const surplusAbove = 1.4

// minPeers is how many organisations a level needs for a growth of its own.
const minPeers = 3

const (
	floorRounds = 8  // of the floor, which depends on the result
	fairRounds  = 50 // of the bisection for the fair share
)

// claim is the demand of one flow. Slots beyond the regular ones are surplus.
type claim struct {
	key      flowKey
	requests float64 // a second
	slots    float64
	weight   float64 // slots that the flow usually asks for
	regular  float64
}

// split marks the surplus: what an organisation sends beyond its usual rate, unless most
// others with requests of that kind send more as well.
func split(claims []claim) {
	levels, routes := map[Level][]float64{}, map[int][]float64{}
	for _, c := range claims {
		growth := c.slots / c.weight
		levels[c.key.level] = append(levels[c.key.level], growth)
		routes[c.key.level.Route] = append(routes[c.key.level.Route], growth)
	}
	ofRoute := map[int]float64{}
	for route, growth := range routes {
		ofRoute[route] = max(1, median(growth))
	}
	ofLevel := map[Level]float64{}
	for level, growth := range levels {
		ofLevel[level] = ofRoute[level.Route]
		if len(growth) >= minPeers {
			ofLevel[level] = max(ofLevel[level], median(growth))
		}
	}
	for n, c := range claims {
		claims[n].regular = min(c.slots, c.weight*ofLevel[c.key.level]*surplusAbove)
	}
}

// median returns the lower median.
func median(all []float64) float64 {
	sorted := slices.Sorted(slices.Values(all))
	return sorted[(len(sorted)-1)/2]
}

// fill returns the part of each claim that the capacity serves. The claims are in order of
// their levels.
func fill(capacity float64, claims []claim) []float64 {
	shares := make([]float64, len(claims))
	total, requests := 0.0, 0.0
	for n, c := range claims {
		shares[n] = 1
		total += c.slots
		requests += c.requests
	}
	if total <= capacity {
		return shares
	}
	split(claims)
	served := capacity / total
	floored := map[string]bool{} // organisations that fall below their floor without it
	for range floorRounds {
		given := divide(capacity, min(served, capacity/total/regularFloor/urgentFirst), floored, claims)
		sum := 0.0
		for n, c := range claims {
			shares[n] = given[n] / max(c.slots, tiny)
			sum += shares[n] * c.requests
		}
		served = min(1, sum/max(requests, tiny))
		findFloored(served, floored, claims, shares)
	}
	return shares
}

// floor returns the part of a claim's requests that are its floor where a part of all
// requests is served.
func (c *claim) floor(served float64) float64 {
	regular := c.regular / max(c.slots, tiny)
	return served * (regularFloor*regular + surplusFloor*(1-regular))
}

// findFloored adds the organisations that are served less often than their floors.
func findFloored(served float64, floored map[string]bool, claims []claim, shares []float64) {
	missing := map[string]float64{} // requests a second
	for n, c := range claims {
		missing[c.key.organisation] += c.requests * (c.floor(served) - shares[n])
	}
	for organisation, requests := range missing {
		if requests > 0 {
			floored[organisation] = true
		}
	}
}

// divide gives the floors, then what is left to the regular demand of the levels in order,
// and then to the surplus of the levels in order.
func divide(left, served float64, floored map[string]bool, claims []claim) []float64 {
	given, wanted := floors(served, floored, claims), make([]float64, len(claims))
	for _, slots := range given {
		left -= slots
	}
	for _, surplus := range []bool{false, true} {
		for n, c := range claims {
			wanted[n] = c.slots
			if !surplus {
				wanted[n] = max(c.regular, given[n])
			}
		}
		for from := 0; from < len(claims); {
			to := levelEnd(claims, from)
			left = max(0, left-divideFairly(left, claims[from:to], given[from:to], wanted[from:to]))
			from = to
		}
	}
	return given
}

// floors returns the slots of the floors: those of the organisations that need one, and of
// all levels that are more urgent, so that these are not served less often.
func floors(served float64, floored map[string]bool, claims []claim) []float64 {
	given, need := make([]float64, len(claims)), map[string]float64{} // requests a second
	for _, c := range claims {
		need[c.key.organisation] += c.requests * c.floor(served)
	}
	for from := 0; from < len(claims); {
		to := levelEnd(claims, from)
		below := slices.ContainsFunc(claims[to:], func(c claim) bool { return floored[c.key.organisation] })
		for n, c := range claims[from:to] {
			part := min(1, urgentFirst*c.floor(served))
			if !floored[c.key.organisation] {
				if below {
					given[from+n] = c.slots * part
				}
				continue
			}
			requests := min(need[c.key.organisation], part*c.requests)
			need[c.key.organisation] -= requests
			given[from+n] = c.slots * requests / max(c.requests, tiny)
		}
		from = to
	}
	return given
}

// levelEnd returns the end of the claims of one level.
func levelEnd(claims []claim, from int) int {
	to := from
	for to < len(claims) && claims[to].key.level == claims[from].key.level {
		to++
	}
	return to
}

// divideFairly raises what claims were given towards what they want, and returns the slots
// that it took. If there are too few, they are divided max-min fairly: every claim is
// raised to the same multiple of its weight, if that is between the two.
func divideFairly(left float64, claims []claim, given, wanted []float64) float64 {
	before, need, high := 0.0, 0.0, 0.0
	for n, c := range claims {
		before += given[n]
		need += wanted[n] - given[n]
		high = max(high, wanted[n]/c.weight)
	}
	if need <= left {
		copy(given, wanted)
		return need
	}
	low := 0.0
	for range fairRounds {
		middle := (low + high) / 2
		if sum := raise(middle, claims, given, wanted, nil); sum-before > left {
			high = middle
		} else {
			low = middle
		}
	}
	return raise(low, claims, given, wanted, given) - before
}

// raise returns the sum of what claims have at a multiple of their weights, and stores it
// in result unless that is nil.
func raise(multiple float64, claims []claim, given, wanted, result []float64) float64 {
	sum := 0.0
	for n, c := range claims {
		slots := min(max(multiple*c.weight, given[n]), wanted[n])
		sum += slots
		if result != nil {
			result[n] = slots
		}
	}
	return sum
}
