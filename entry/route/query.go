package route

import (
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
)

// Query asks for an instance for one attempt of a request.
type Query struct {
	service  string
	contract *contract.Contract
	caller   string
	zone     string
	exclude  []instance.ID
	among    []int // positions of the members that are weighed first, nil for none
	aim      int64 // Unix nanoseconds, 0 for none
	deadline int64 // Unix nanoseconds, 0 for none
}

// NewQuery returns a query. An attempt that excludes instances is a retry.
func NewQuery(service string, terms *contract.Contract, caller, zone string, exclude ...instance.ID) Query {
	return Query{service: service, contract: terms, caller: caller, zone: zone, exclude: exclude}
}

// WithDeadline returns the query with the time by which the answer must have begun.
func (q Query) WithDeadline(deadline time.Time) Query {
	q.deadline = deadline.UnixNano()
	return q
}

// WithSoftDeadline returns the query with the time by which an answer is worth most.
func (q Query) WithSoftDeadline(at time.Time) Query {
	q.aim = at.UnixNano()
	return q
}

// aimed returns the time in which the contract wants an answer, 0 if it names
// none.
func (q *Query) aimed() time.Duration {
	if q.contract == nil {
		return 0
	}
	return q.contract.Aim()
}

// Service returns the service that is asked for.
func (q Query) Service() string { return q.service }

// Contract returns the request's contract.
func (q Query) Contract() *contract.Contract { return q.contract }

// Caller returns the caller's identity.
func (q Query) Caller() string { return q.caller }

// Zone returns the zone of the asking host.
func (q Query) Zone() string { return q.zone }

// Retry reports whether an earlier attempt was made.
func (q Query) Retry() bool { return len(q.exclude) > 0 }

// Excludes reports whether an earlier attempt used the instance.
func (q Query) Excludes(id instance.ID) bool {
	for _, one := range q.exclude {
		if one == id {
			return true
		}
	}
	return false
}

// zonePreference returns how zones weigh under the request's contract.
func (q *Query) zonePreference() contract.ZonePreference {
	if q.contract == nil {
		return contract.ZonePrefer
	}
	return q.contract.Zone()
}

// elsewhere reports whether a member is in another zone than the asking host.
func (q *Query) elsewhere(m *Member) bool {
	return q.zone != "" && m.instance.Zone() != q.zone
}
