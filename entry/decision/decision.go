// Package decision writes one log line for each routing and placement
// decision, asynchronously to the request, and retains the latest ones so that
// they can be explained. Dropped lines are counted and reported.
//
// Usage:
//
//	log := decision.NewLog(logger)
//	go log.Run(ctx)
//	log.Write(&decision.Decision{ID: id, Kind: decision.Route, ...})
//	d := log.Find(id)
package decision

import "time"

// Kind is the kind of a decision.
type Kind string

// Kinds of decisions.
const (
	Route     Kind = "route"
	Placement Kind = "placement"
)

// Candidate is the state of one instance as seen when a decision was made.
type Candidate struct {
	Instance     string  `json:"instance"`
	State        string  `json:"state"`
	InFlight     int     `json:"inFlight"`             // requests of this host
	Others       int     `json:"others,omitempty"`     // requests of the other entry hosts, as received from them
	Reported     int     `json:"reported,omitempty"`   // load reported by the instance
	ReportAgeNs  int64   `json:"knownAgeNs,omitempty"` // age of the reported load
	Score        float64 `json:"score"`
	Slowdown     float64 `json:"speed,omitempty"`        // last reported multiple of the usual service time
	LatencyNs    int64   `json:"latencyNs,omitempty"`    // service time, normalised by in-flight requests
	LatencyAgeNs int64   `json:"latencyAgeNs,omitempty"` // age of the last response that LatencyNs includes
	WhyExcluded  string  `json:"whyExcluded,omitempty"`
}

// Way is how a request was sent to an instance again.
type Way string

// Ways in which a request is sent again.
const (
	Resend Way = "resend" // on a new link, after the instance had closed an idle one
	Retry  Way = "retry"  // after a failure or a refusal
	Hedge  Way = "hedge"  // to a second instance, as the first one is late
	Relay  Way = "relay"  // through another entry host
)

// Repeat is one send of a request after its first one.
type Repeat struct {
	Way    Way    `json:"way"`
	Charge string `json:"charge"` // what it was charged to, "none" if nothing
}

// Decision is one line of the decision log. It is immutable once written.
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
	ProbesSent      int           `json:"asked,omitempty"` // load probes sent before the choice
	ProbesCompleted int           `json:"told,omitempty"`  // probes that completed in time
	ProbeElapsed    time.Duration `json:"lookNs,omitempty"`
	Latency         time.Duration `json:"latencyNs,omitempty"`
	Status          int           `json:"status,omitempty"`
	Outcome         string        `json:"outcome,omitempty"`
	Problem         string        `json:"problem,omitempty"`
	Detail          string        `json:"detail,omitempty"`  // human-readable reason
	Hosts           []string      `json:"hosts,omitempty"`   // entry hosts of a placement
	Repeats         []Repeat      `json:"repeats,omitempty"` // sends after the first one
	Candidates      []Candidate   `json:"candidates,omitempty"`
}
