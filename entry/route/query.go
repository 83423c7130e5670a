package route

import (
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
)

// Query describes one attempt of a request that needs an instance.
type Query struct {
	service      string
	contract     *contract.Contract
	caller       string
	zone         string
	exclude      []instance.ID
	preferred    []int                  // positions of the members that are considered first, nil for none
	slowService  bool                   // no instance reports its usual speed
	softDeadline int64                  // Unix nanoseconds, 0 for none
	deadline     int64                  // Unix nanoseconds, 0 for none
	repeated     bool                   // the request has earned its share of a retry
	organisation *contract.Organisation // of the caller, nil for none
	coldRate     float64                // limit on the requests a second to each cold instance, 0 for none
	warmDelay    int64                  // time for which instances are avoided after they were cold
	coldWanted   bool                   // a cold instance was the best choice, but this host may send it nothing
	ranked       bool                   // the rules in force hold organisations
}

// NewQuery returns a query. A query that excludes instances is one of a repeated request.
func NewQuery(service string, terms *contract.Contract, caller, zone string, exclude ...instance.ID) Query {
	return Query{service: service, contract: terms, caller: caller, zone: zone, exclude: exclude, repeated: len(exclude) > 0}
}

// Repeated returns the query of a request that was counted for the retry budget before,
// at this host or another one.
func (q Query) Repeated() Query {
	q.repeated = true
	return q
}

// WithOrganisation returns the query of a request of the organisation, nil for none.
func (q Query) WithOrganisation(o *contract.Organisation) Query {
	q.organisation = o
	return q
}

// Organisation returns the organisation of the caller, nil for none.
func (q Query) Organisation() *contract.Organisation { return q.organisation }

// WithRanks returns the query of a request that is ordered strictly by rank, as the rules
// in force hold organisations.
func (q Query) WithRanks(ranked bool) Query {
	q.ranked = ranked
	return q
}

// WithDeadline returns the query with the time by which the response must have begun.
func (q Query) WithDeadline(deadline time.Time) Query {
	q.deadline = deadline.UnixNano()
	return q
}

// WithSoftDeadline returns the query with the time by which the response should
// arrive, as set by the `aim` of the rule. Requests that miss it are served last
// and may be shed.
func (q Query) WithSoftDeadline(at time.Time) Query {
	q.softDeadline = at.UnixNano()
	return q
}

// targetLatency returns the contract's target for the response time (its `aim`),
// 0 if it has none.
func (q *Query) targetLatency() time.Duration {
	if q.contract == nil {
		return 0
	}
	return q.contract.Aim()
}

// Service returns the name of the requested service.
func (q Query) Service() string { return q.service }

// Contract returns the request's contract.
func (q Query) Contract() *contract.Contract { return q.contract }

// Caller returns the caller's identity.
func (q Query) Caller() string { return q.caller }

// Zone returns the zone of the host that sends the request.
func (q Query) Zone() string { return q.zone }

// Excludes reports whether an earlier attempt used the instance.
func (q Query) Excludes(id instance.ID) bool {
	for _, excluded := range q.exclude {
		if excluded == id {
			return true
		}
	}
	return false
}

// zonePreference returns the zone preference of the request's contract.
func (q *Query) zonePreference() contract.ZonePreference {
	if q.contract == nil {
		return contract.ZonePrefer
	}
	return q.contract.Zone()
}

// inOtherZone reports whether a member is in another zone than this host.
func (q *Query) inOtherZone(m *Member) bool {
	return q.zone != "" && m.instance.Zone() != q.zone
}
