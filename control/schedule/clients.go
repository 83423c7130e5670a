package schedule

import (
	"fmt"

	"github.com/snipebeam/snipebeam/world/wire"
)

// clients simulates the operators and entry hosts of a run.
type clients struct {
	lastID         int
	newestVersion  uint64 // newest version that any client has seen
	submissions    []*wire.SubmitRequest
	firstResponses map[string]*wire.SubmitResponse // by submission id
	claimants      []*claimant
	dispatchedBy   map[string]string // key to claim id
	lastReadID     uint64
}

func newClients() *clients {
	return &clients{firstResponses: map[string]*wire.SubmitResponse{}, dispatchedBy: map[string]string{}}
}

func (c *clients) observeVersion(n uint64) { c.newestVersion = max(c.newestVersion, n) }

// randomRequest sends one random request, in two of three cases to the leader.
func (c *clients) randomRequest(sim *Simulation) {
	h := sim.randomHost()
	if leader := sim.leader(); leader != nil && sim.source.Int(3) > 0 {
		h = leader
	}
	if !h.up {
		return
	}
	switch sim.source.Int(7) {
	case 0, 1:
		c.submit(sim, h)
	case 2:
		c.submitAgain(sim, h)
	case 3, 4:
		c.claim(sim, h)
	case 5:
		c.advanceClaimant(sim, h)
	case 6:
		c.read(sim, h)
	}
}

func (c *clients) submit(sim *Simulation, h *host) {
	c.lastID++
	req := &wire.SubmitRequest{
		SubmissionId: fmt.Sprintf("submission-%d", c.lastID), Text: fmt.Sprintf("text %d", c.lastID), Author: "operator",
		BaseVersion: c.newestVersion - min(c.newestVersion, uint64(sim.source.Int(5)/4)),
	}
	c.submissions = append(c.submissions, req)
	c.send(sim, h, req)
}

func (c *clients) submitAgain(sim *Simulation, h *host) {
	if len(c.submissions) > 0 {
		c.send(sim, h, c.submissions[sim.source.Int(len(c.submissions))])
	}
}

func (c *clients) send(sim *Simulation, h *host, req *wire.SubmitRequest) {
	a := &attempt{cmd: &wire.Command{At: sim.wallClock(), Clock: int64(sim.now), Body: &wire.Command_Submit{Submit: req}}}
	a.onResult = func(result *wire.Result) { c.handleSubmit(sim, req, result.GetSubmit()) }
	a.start(sim, h)
}

// wallClock returns a wall-clock time that jumps far forwards and backwards.
func (sim *Simulation) wallClock() int64 { return int64(sim.now) + int64(sim.source.Int(3)-1)*(1<<50) }

func (c *clients) handleSubmit(sim *Simulation, req *wire.SubmitRequest, got *wire.SubmitResponse) {
	c.observeVersion(got.GetVersion().GetNumber())
	if first, ok := c.firstResponses[req.GetSubmissionId()]; ok {
		if first.GetAccepted() != got.GetAccepted() || first.GetVersion().GetNumber() != got.GetVersion().GetNumber() {
			sim.violate(SameResult, fmt.Sprintf("%s: first %v, then %v", req.GetSubmissionId(), first, got))
		}
		return
	}
	c.firstResponses[req.GetSubmissionId()] = got
	if got.GetAccepted() {
		sim.report.accepted++
	}
}

func (c *clients) read(sim *Simulation, h *host) {
	c.lastReadID++
	a := &attempt{started: sim.now, minVersion: c.newestVersion}
	h.reads[c.lastReadID] = a
	h.replica.ReadIndex(c.lastReadID)
	h.flush()
}

// checkAccepted checks that a host has every accepted submission.
func (c *clients) checkAccepted(sim *Simulation, h *host) {
	for id, response := range c.firstResponses {
		if !response.GetAccepted() {
			continue
		}
		version, _ := h.machine.Version(response.GetVersion().GetNumber())
		if version.GetSubmissionId() != id || version.GetDigest() != response.GetVersion().GetDigest() {
			sim.violate(NoLoss, fmt.Sprintf("%s: version %d of %s is %v", h.id, response.GetVersion().GetNumber(), id, version))
		}
	}
}
