package route

import (
	"time"

	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/world/instance"
)

// Report is what came of one attempt.
type Report struct {
	Latency        time.Duration // from dispatch to the first byte of the answer
	Failed         bool          // the answer is an error of the instance, or there is none
	ConnectionLost bool          // the link broke or went silent
	Refused        bool          // the instance did not start it
	HedgeCancelled bool          // it was cancelled, since another instance answered first
	// ReportedLoad is the load that the answer carried, valid if HasReport.
	ReportedLoad    int
	HasReportedLoad bool
	Slowdown        float64 // time that work takes now, as a multiple of the usual; 0 if not told
}

// Ticket is the right to send one attempt to one instance.
type Ticket struct {
	member     Member
	dispatcher *Dispatcher
	policy     string
	why        string
	work       float64 // that the instance could have done when this one was sent
	level      float64 // requests at the instance when this one was sent, itself included
	waited     time.Duration
	look       ProbeStats
	held       pass
	trace      *Trace
}

// Instance returns the chosen instance.
func (t *Ticket) Instance() *instance.Instance { return t.member.instance }

// Reason says why the instance was chosen.
func (t *Ticket) Reason() string { return t.policy + ": " + t.why }

// Waited returns how long the request waited for the instance.
func (t *Ticket) Waited() time.Duration { return t.waited }

// Probes returns what was asked of instances before the choice.
func (t *Ticket) Probes() ProbeStats { return t.look }

// Candidates returns what was known of the instances that were weighed.
func (t *Ticket) Candidates() []Candidate {
	if t.trace == nil {
		return nil
	}
	return t.trace.Candidates()
}

// Omitted returns how many weighed instances the candidates leave out.
func (t *Ticket) Omitted() int {
	if t.trace == nil {
		return 0
	}
	return t.trace.Omitted()
}

// Explain returns the candidates as the decision log shows them.
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
		Score: c.Score, Speed: c.Slowdown, LatencyNs: int64(c.Latency), LatencyAgeNs: int64(max(c.LatencyAge, 0)),
	}
	if c.ReportAge >= 0 {
		line.Reported, line.KnownAgeNs = c.Reported, int64(c.ReportAge)
	}
	switch {
	case c.State == Ejected || c.State == Draining || c.State == Excluded:
		line.WhyExcluded = c.State.String()
	case c.Busy:
		line.WhyExcluded = "at its limit"
	}
	return line
}

// Finish ends the attempt. It is called exactly once.
func (t *Ticket) Finish(report Report) { t.dispatcher.finish(t, report) }
