// Package decision writes one log line for each routing and placement
// decision, off the request's path, and remembers the latest ones so that they
// can be explained. Lines that had to be dropped are counted and reported.
//
// Usage:
//
//	log := decision.NewLog(logger)
//	go log.Run(ctx)
//	log.Write(&decision.Decision{ID: id, Kind: decision.Route, ...})
//	d := log.Find(id)
package decision

import "time"

// Kind says what was decided.
type Kind string

// Kinds of decisions.
const (
	Route     Kind = "route"
	Placement Kind = "placement"
)

// Candidate is what was known of one instance when a decision was taken.
type Candidate struct {
	Instance     string  `json:"instance"`
	State        string  `json:"state"`
	InFlight     int     `json:"inFlight"`             // of this host
	Others       int     `json:"others,omitempty"`     // of the other entry hosts, as shared
	Reported     int     `json:"reported,omitempty"`   // by the instance itself
	ReportAgeNs  int64   `json:"knownAgeNs,omitempty"` // age of what others and the instance said
	Score        float64 `json:"score"`
	Slowdown     float64 `json:"speed,omitempty"`        // multiple of the usual time that work takes, as last told
	LatencyNs    int64   `json:"latencyNs,omitempty"`    // service time, normalised by the requests in flight
	LatencyAgeNs int64   `json:"latencyAgeNs,omitempty"` // age of the last answer that it was learnt from
	WhyExcluded  string  `json:"whyExcluded,omitempty"`
}

// Decision is one line of the decision log. It is not changed once written.
type Decision struct {
	ID              string        `json:"id"`
	Kind            Kind          `json:"kind"`
	At              time.Time     `json:"at"`
	Host            string        `json:"host,omitempty"`
	Service         string        `json:"service"`
	Method          string        `json:"method,omitempty"`
	Path            string        `json:"path,omitempty"`
	Caller          string        `json:"caller,omitempty"`
	Rule            string        `json:"rule,omitempty"`
	Version         uint64        `json:"version,omitempty"`
	Attempt         int           `json:"attempt,omitempty"`
	Instance        string        `json:"instance,omitempty"`
	Reason          string        `json:"reason,omitempty"`
	Waited          time.Duration `json:"waitedNs,omitempty"`
	ProbesSent      int           `json:"asked,omitempty"` // instances asked for their load before the choice
	ProbesCompleted int           `json:"told,omitempty"`  // of them, in time
	ProbeElapsed    time.Duration `json:"lookNs,omitempty"`
	Latency         time.Duration `json:"latencyNs,omitempty"`
	Status          int           `json:"status,omitempty"`
	Outcome         string        `json:"outcome,omitempty"`
	Problem         string        `json:"problem,omitempty"`
	Detail          string        `json:"detail,omitempty"` // why, for people
	Hosts           []string      `json:"hosts,omitempty"`  // entry hosts of a placement
	Candidates      []Candidate   `json:"candidates,omitempty"`
}
