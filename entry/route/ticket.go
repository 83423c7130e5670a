package route

import (
	"time"

	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/world/instance"
)

// Report is the result of one attempt.
type Report struct {
	Latency        time.Duration // from dispatch to the first byte of the response
	Failed         bool          // the instance returned an error or no response
	Unreachable    bool          // the instance cannot be reached, or another one uses its address
	Refused        bool          // the instance rejected the request without starting it
	HedgeCancelled bool          // cancelled because another instance responded first
	// ReportedLoad is the load that the response carried, valid if HasReportedLoad.
	ReportedLoad    int
	HasReportedLoad bool
	Answered        bool      // the instance returned a response, which states its RateLimit
	Leaving         bool      // the response states that the instance leaves
	RateLimit       RateLimit // as the response states it
	Slowdown        float64   // current service time as a multiple of the usual one, 0 if not reported
}

// Ticket is the permission to send one attempt to one instance.
type Ticket struct {
	member     Member
	view       *View // from which the member was chosen
	dispatcher *Dispatcher
	policy     string
	reason     string
	work       float64 // reading of the instance's work clock at dispatch
	inFlight   float64 // requests of this host at the instance at dispatch, including this one
	waited     time.Duration
	probes     ProbeStats
	permit     permit
	taken      credit // of the instance's limit
	trace      *Trace
	ranked     bool
	kind       *kindStats // of a ranked request, else nil
	flow       Flow       // of a ranked request
}

// Instance returns the chosen instance.
func (t *Ticket) Instance() *instance.Instance { return t.member.instance }

// Usable reports whether the instance may still get the attempt: since it was chosen, it has
// neither left nor said that it leaves, and its zone was not evacuated.
func (t *Ticket) Usable() bool {
	if t.member.load.leaving.Load() {
		return false
	}
	view := t.dispatcher.router.views.Load(t.dispatcher.service)
	if view == t.view {
		return true
	}
	if view == nil {
		return false
	}
	for n := range view.members {
		if m := &view.members[n]; m.load == t.member.load {
			return !m.draining()
		}
	}
	return false
}

// Reason returns the policy and why it selected the instance.
func (t *Ticket) Reason() string { return t.policy + ": " + t.reason }

// Waited returns how long the request was queued.
func (t *Ticket) Waited() time.Duration { return t.waited }

// Probes returns the summary of the pre-dispatch probes.
func (t *Ticket) Probes() ProbeStats { return t.probes }

// Candidates returns the recorded state of the instances that were considered.
func (t *Ticket) Candidates() []Candidate {
	if t.trace == nil {
		return nil
	}
	return t.trace.Candidates()
}

// Omitted returns how many instances were considered but not recorded.
func (t *Ticket) Omitted() int {
	if t.trace == nil {
		return 0
	}
	return t.trace.Omitted()
}

// Explain returns the candidates in the form of the decision log.
func (t *Ticket) Explain() []decision.Candidate {
	all := make([]decision.Candidate, 0, len(t.Candidates()))
	for _, c := range t.Candidates() {
		all = append(all, c.explain())
	}
	return all
}

func (c Candidate) explain() decision.Candidate {
	line := decision.Candidate{
		Instance: string(c.ID), State: c.State.String(), InFlight: c.InFlight,
		Score: c.Score, Slowdown: c.Slowdown, LatencyNs: int64(c.Latency), LatencyAgeNs: int64(max(c.LatencyAge, 0)),
	}
	if c.ReportAge >= 0 {
		line.Reported, line.ReportAgeNs = c.Reported, int64(c.ReportAge)
	}
	switch {
	case c.State == Ejected || c.State == Draining || c.State == Excluded || c.State == RateLimited:
		line.WhyExcluded = c.State.String()
	case c.Busy:
		line.WhyExcluded = "at its limit"
	}
	return line
}

// Release gives up a ticket with which nothing was sent, instead of Finish.
func (t *Ticket) Release() {
	t.member.load.rateLimit.giveBack(t.taken)
	t.dispatcher.release(t)
}

// Finish ends the attempt and records its result. Either it or Release must be
// called exactly once.
func (t *Ticket) Finish(report Report) { t.dispatcher.finish(t, report) }
