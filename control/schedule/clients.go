package schedule

import (
	"fmt"

	"github.com/snipebeam/snipebeam/world/wire"
)

// clients are the operators and entry hosts of a run.
type clients struct {
	next        int
	known       uint64 // newest version that any client knows of
	submissions []*wire.SubmitRequest
	first       map[string]*wire.SubmitResponse // by submission id
	holders     []*holder
	dispatched  map[string]string // key to claim id
	nextRead    uint64
}

func newClients() *clients {
	return &clients{first: map[string]*wire.SubmitResponse{}, dispatched: map[string]string{}}
}

func (c *clients) noteVersion(n uint64) { c.known = max(c.known, n) }

// act does one thing that a client may do.
func (c *clients) act(w *Simulation) {
	h := w.anyHost()
	if leader := w.leader(); leader != nil && w.source.Int(3) > 0 {
		h = leader
	}
	if !h.up {
		return
	}
	switch w.source.Int(7) {
	case 0, 1:
		c.submit(w, h)
	case 2:
		c.submitAgain(w, h)
	case 3, 4:
		c.claim(w, h)
	case 5:
		c.settle(w, h)
	case 6:
		c.read(w, h)
	}
}

func (c *clients) submit(w *Simulation, h *host) {
	c.next++
	req := &wire.SubmitRequest{
		SubmissionId: fmt.Sprintf("submission-%d", c.next), Text: fmt.Sprintf("text %d", c.next), Author: "operator",
		BaseVersion: c.known - min(c.known, uint64(w.source.Int(5)/4)),
	}
	c.submissions = append(c.submissions, req)
	c.send(w, h, req)
}

func (c *clients) submitAgain(w *Simulation, h *host) {
	if len(c.submissions) > 0 {
		c.send(w, h, c.submissions[w.source.Int(len(c.submissions))])
	}
}

func (c *clients) send(w *Simulation, h *host, req *wire.SubmitRequest) {
	a := &attempt{cmd: &wire.Command{At: w.wallClock(), Clock: int64(w.now), Body: &wire.Command_Submit{Submit: req}}}
	a.then = func(result *wire.Result) { c.submitted(w, req, result.GetSubmit()) }
	a.start(w, h)
}

// wallClock jumps far ahead and back.
func (w *Simulation) wallClock() int64 { return int64(w.now) + int64(w.source.Int(3)-1)*(1<<50) }

func (c *clients) submitted(w *Simulation, req *wire.SubmitRequest, got *wire.SubmitResponse) {
	c.noteVersion(got.GetVersion().GetNumber())
	if first, ok := c.first[req.GetSubmissionId()]; ok {
		if first.GetAccepted() != got.GetAccepted() || first.GetVersion().GetNumber() != got.GetVersion().GetNumber() {
			w.violate(SameResult, fmt.Sprintf("%s: first %v, then %v", req.GetSubmissionId(), first, got))
		}
		return
	}
	c.first[req.GetSubmissionId()] = got
	if got.GetAccepted() {
		w.report.accepted++
	}
}

func (c *clients) read(w *Simulation, h *host) {
	c.nextRead++
	a := &attempt{started: w.now, floor: c.known}
	h.reads[c.nextRead] = a
	h.replica.ReadIndex(c.nextRead)
	h.flush()
}

// checkAccepted looks for every accepted submission on a host.
func (c *clients) checkAccepted(w *Simulation, h *host) {
	for id, response := range c.first {
		if !response.GetAccepted() {
			continue
		}
		version, _ := h.machine.Version(response.GetVersion().GetNumber())
		if version.GetSubmissionId() != id || version.GetDigest() != response.GetVersion().GetDigest() {
			w.violate(NoLoss, fmt.Sprintf("%s: version %d of %s is %v", h.id, response.GetVersion().GetNumber(), id, version))
		}
	}
}
