package route

import (
	"errors"
	"time"

	"github.com/snipebeam/snipebeam/world/outcome"
)

// Flow identifies the requests of one organisation and urgency for a service.
type Flow struct {
	Service          string
	OrganisationRank int
	RouteRank        int
	Organisation     string // empty for none
}

// Gate admits requests where the rules in force hold organisations, and measures them.
type Gate interface {
	// Admit counts a request that arrives. It returns false and the wait after which the
	// request can be served, if it is not admitted.
	Admit(f Flow) (wait time.Duration, admitted bool)
	// Refused counts an admitted request that this host refuses for lack of capacity.
	Refused(f Flow)
	// Served counts a request that was served, and the time for which it occupied a slot.
	Served(f Flow, took time.Duration)
}

// WithGate sets the gate. Without one, every request is admitted.
func WithGate(gate Gate) Option { return func(r *Router) { r.gate = gate } }

func (q *Query) flow() Flow {
	r := q.rank()
	return Flow{Service: q.service, OrganisationRank: r.organisation, RouteRank: int(r.route), Organisation: q.organisation.Name()}
}

// gated reports whether the request passes the gate. It does so once, with its first attempt.
func (r *Router) gated(q *Query) bool { return r.gate != nil && q.ranked && !q.repeated }

// admit returns a problem if the request is not admitted.
func (r *Router) admit(q *Query) error {
	if !r.gated(q) {
		return nil
	}
	wait, admitted := r.gate.Admit(q.flow())
	if admitted {
		return nil
	}
	return outcome.New(outcome.NotRun, outcome.Overload, "the demand for "+q.service+" exceeds its capacity").WithRetryAfter(wait)
}

// refused counts a refusal for lack of capacity.
func (r *Router) refused(q *Query, problem error) {
	if !r.gated(q) {
		return
	}
	var p *outcome.Problem
	if errors.As(problem, &p) && (p.Reason() == outcome.Overload || p.Reason() == outcome.DeadlineExceeded) {
		r.gate.Refused(q.flow())
	}
}

// served counts a success of a ranked request, of any attempt.
func (t *Ticket) served(service float64) {
	t.kind.observe(service)
	if gate := t.dispatcher.router.gate; gate != nil && t.ranked {
		gate.Served(t.flow, time.Duration(service))
	}
}
