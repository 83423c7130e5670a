package caller

import (
	"sync"

	"github.com/snipebeam/snipebeam/world/rule"
)

// maxTurns bounds the rules whose turns are remembered.
const maxTurns = 4096

// turns divides the requests of rules among services by weight. Each service
// earns its weight with a request, and the one that has earned most takes it:
// the parts are exact at any moment to within one request.
type turns struct {
	mu     sync.Mutex
	earned map[string][]int // by the rule's text
}

// service returns the service that takes a rule's next request.
func (t *turns) service(r *rule.Rule) string {
	shares := r.Shares()
	if len(shares) == 0 {
		return r.Service()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.earned == nil || len(t.earned) > maxTurns {
		t.earned = map[string][]int{}
	}
	earned := t.earned[r.String()]
	if len(earned) != len(shares) {
		earned = make([]int, len(shares))
		t.earned[r.String()] = earned
	}
	best, total := 0, 0
	for n, share := range shares {
		earned[n] += share.Weight()
		total += share.Weight()
		if share.Weight() > 0 && (earned[n] > earned[best] || shares[best].Weight() == 0) {
			best = n
		}
	}
	earned[best] -= total
	return shares[best].Service()
}
