package route

import (
	"cmp"

	"github.com/snipebeam/snipebeam/world/contract"
)

// rank is the urgency of a request. The most urgent rank is the lowest.
type rank struct {
	organisation int
	route        contract.Priority
}

// rank returns the urgency of a request.
func (q *Query) rank() rank {
	r := rank{organisation: q.organisation.Rank(), route: contract.PriorityNormal}
	if q.contract != nil {
		r.route = q.contract.Priority()
	}
	return r
}

// compare orders ranks, the most urgent first. The organisation's rank goes before the
// route's.
func (r rank) compare(other rank) int {
	if order := cmp.Compare(r.organisation, other.organisation); order != 0 {
		return order
	}
	return cmp.Compare(r.route, other.route)
}

func (w *Waiter) rank() rank { return w.query.rank() }
