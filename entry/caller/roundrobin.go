package caller

import (
	"sync"

	"github.com/snipebeam/snipebeam/world/rule"
)

// maxTrackedRules bounds the rules for which per-rule state is kept.
const maxTrackedRules = 4096

// weightedRoundRobin divides the requests of each rule among its services by
// smooth weighted round robin. With each request every service is credited its
// weight, and the service with the most credit is picked and charged the sum
// of the weights, so that at any moment each share is exact to within one
// request.
type weightedRoundRobin struct {
	mu      sync.Mutex
	credits map[string][]int // by the rule's text
}

// pick returns the service for a rule's next request.
func (w *weightedRoundRobin) pick(r *rule.Rule) string {
	shares := r.Shares()
	if len(shares) == 0 {
		return r.Service()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.credits == nil || len(w.credits) > maxTrackedRules {
		w.credits = map[string][]int{}
	}
	credits := w.credits[r.String()]
	if len(credits) != len(shares) {
		credits = make([]int, len(shares))
		w.credits[r.String()] = credits
	}
	best, total := 0, 0
	for n, share := range shares {
		credits[n] += share.Weight()
		total += share.Weight()
		if share.Weight() > 0 && (credits[n] > credits[best] || shares[best].Weight() == 0) {
			best = n
		}
	}
	credits[best] -= total
	return shares[best].Service()
}
