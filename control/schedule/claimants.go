package schedule

import (
	"fmt"

	"github.com/snipebeam/snipebeam/world/wire"
)

// claimKeys is the number of idempotency keys that the claimants compete for.
const claimKeys = 4

type claimantState string

const (
	claiming   claimantState = "claiming"
	dispatched claimantState = "dispatched" // granted: the request has been sent
	releasing  claimantState = "releasing"  // sends releases until one is acknowledged
	released   claimantState = "released"
	refused    claimantState = "refused" // another attempt holds or completed it
	answered   claimantState = "answered"
)

// claimant is an entry host's attempt to execute a request at most once.
type claimant struct {
	key     string
	claimID string
	state   claimantState
}

func (cl *claimant) wireKey() *wire.ClaimKey {
	return &wire.ClaimKey{Service: "checkout", Caller: "studio", IdempotencyKey: cl.key}
}

func (cl *claimant) claimCommand(sim *Simulation) *wire.Command {
	req := &wire.ClaimRequest{Key: cl.wireKey(), ClaimId: cl.claimID, Holder: cl.claimID}
	return &wire.Command{At: sim.wallClock(), Clock: int64(sim.now), Body: &wire.Command_Claim{Claim: req}}
}

func (cl *claimant) releaseCommand() *wire.Command {
	return &wire.Command{Body: &wire.Command_Release{Release: &wire.ReleaseRequest{Key: cl.wireKey(), ClaimId: cl.claimID}}}
}

func (c *clients) newClaimant(key string) *claimant {
	c.lastID++
	cl := &claimant{key: key, claimID: fmt.Sprintf("claim-%d", c.lastID), state: claiming}
	c.claimants = append(c.claimants, cl)
	return cl
}

// claim sends a claim for a new claimant, sometimes twice.
func (c *clients) claim(sim *Simulation, at *host) {
	cl := c.newClaimant(fmt.Sprintf("key-%d", sim.source.Int(claimKeys)))
	c.sendClaim(sim, at, cl)
	if sim.source.Int(4) == 0 && at.up {
		c.sendClaim(sim, at, cl)
	}
}

func (c *clients) sendClaim(sim *Simulation, at *host, cl *claimant) {
	a := &attempt{cmd: cl.claimCommand(sim)}
	a.onResult = func(result *wire.Result) { c.handleClaim(sim, cl, result.GetClaim()) }
	a.onUnknown = func() {
		if cl.state == claiming {
			cl.state = releasing
		}
	}
	a.start(sim, at)
	if !a.running && !a.finished && cl.state == claiming {
		cl.state = releasing
	}
}

func (c *clients) handleClaim(sim *Simulation, cl *claimant, got *wire.ClaimResponse) {
	if cl.state != claiming {
		return
	}
	if got.GetState() != wire.ClaimState_CLAIM_GRANTED {
		cl.state = refused
		return
	}
	if sim.source.Int(4) == 0 {
		cl.state = releasing // the deadline passed before the dispatch
		return
	}
	cl.state = dispatched
	sim.report.dispatched++
	if other, ok := c.dispatchedBy[cl.key]; ok {
		sim.violate(OneHolder, fmt.Sprintf("%s was dispatched by %s and by %s", cl.key, other, cl.claimID))
	}
	c.dispatchedBy[cl.key] = cl.claimID
}

// advanceClaimant takes the next step of a random claimant: it completes or
// releases a claim, or sends it again after its release.
func (c *clients) advanceClaimant(sim *Simulation, at *host) {
	if len(c.claimants) == 0 {
		return
	}
	cl := c.claimants[sim.source.Int(len(c.claimants))]
	switch cl.state {
	case dispatched:
		c.complete(sim, at, cl)
	case releasing:
		c.release(sim, at, cl)
	case released:
		// A claim that the network delayed arrives after its release.
		c.sendClaim(sim, at, cl)
	}
}

func (c *clients) complete(sim *Simulation, at *host, cl *claimant) {
	req := &wire.CompleteRequest{Key: cl.wireKey(), ClaimId: cl.claimID, Answer: &wire.StoredAnswer{Status: 200}}
	a := &attempt{cmd: &wire.Command{Body: &wire.Command_Complete{Complete: req}}}
	a.onResult = func(result *wire.Result) {
		if result.GetComplete().GetStored() {
			cl.state = answered
		}
	}
	a.start(sim, at)
}

func (c *clients) release(sim *Simulation, at *host, cl *claimant) {
	a := &attempt{cmd: cl.releaseCommand()}
	a.onResult = func(result *wire.Result) {
		if result.GetRelease().GetReleased() {
			cl.state = released
		}
	}
	a.start(sim, at)
}

// checkClaims releases the claims that are pending or being released, then
// checks that each key without a dispatch can still be claimed and that no other
// key can.
func (c *clients) checkClaims(sim *Simulation) {
	for _, cl := range c.claimants {
		if cl.state == releasing || cl.state == claiming {
			sim.propose(&attempt{cmd: cl.releaseCommand()})
		}
	}
	for n := range claimKeys {
		key := fmt.Sprintf("key-%d", n)
		cl := c.newClaimant(key)
		a := &attempt{cmd: cl.claimCommand(sim)}
		sim.propose(a)
		_, ran := c.dispatchedBy[key]
		granted := a.result.GetClaim().GetState() == wire.ClaimState_CLAIM_GRANTED
		if granted && ran {
			sim.violate(OneHolder, key+" is granted again after its dispatch")
		}
		if !granted && !ran {
			sim.violate(NoOrphanClaim, fmt.Sprintf("%s is still held by %s, which released it", key, a.result.GetClaim().GetHolder()))
		}
	}
}
