package schedule

import (
	"fmt"

	"github.com/snipebeam/snipebeam/world/wire"
)

// claimKeys is how many idempotency keys the holders compete for.
const claimKeys = 4

type holderState string

const (
	claiming   holderState = "claiming"
	dispatched holderState = "dispatched" // granted: the request is on its way
	givingUp   holderState = "giving up"  // releases until that is acknowledged
	released   holderState = "released"
	refused    holderState = "refused" // another attempt holds or completed it
	answered   holderState = "answered"
)

// holder is an entry host's attempt to run a request at most once.
type holder struct {
	key     string
	claimID string
	state   holderState
}

func (h *holder) wireKey() *wire.ClaimKey {
	return &wire.ClaimKey{Service: "checkout", Caller: "studio", IdempotencyKey: h.key}
}

func (h *holder) claimCommand(w *Simulation) *wire.Command {
	req := &wire.ClaimRequest{Key: h.wireKey(), ClaimId: h.claimID, Holder: h.claimID}
	return &wire.Command{At: w.wallClock(), Clock: int64(w.now), Body: &wire.Command_Claim{Claim: req}}
}

func (h *holder) releaseCommand() *wire.Command {
	return &wire.Command{Body: &wire.Command_Release{Release: &wire.ReleaseRequest{Key: h.wireKey(), ClaimId: h.claimID}}}
}

func (c *clients) newHolder(key string) *holder {
	c.next++
	h := &holder{key: key, claimID: fmt.Sprintf("claim-%d", c.next), state: claiming}
	c.holders = append(c.holders, h)
	return h
}

// claim starts an attempt; sometimes the same claim is sent twice.
func (c *clients) claim(w *Simulation, at *host) {
	one := c.newHolder(fmt.Sprintf("key-%d", w.source.Int(claimKeys)))
	c.sendClaim(w, at, one)
	if w.source.Int(4) == 0 && at.up {
		c.sendClaim(w, at, one)
	}
}

func (c *clients) sendClaim(w *Simulation, at *host, one *holder) {
	a := &attempt{cmd: one.claimCommand(w)}
	a.then = func(result *wire.Result) { c.claimed(w, one, result.GetClaim()) }
	a.lost = func() {
		if one.state == claiming {
			one.state = givingUp
		}
	}
	a.start(w, at)
	if !a.running && !a.finished && one.state == claiming {
		one.state = givingUp
	}
}

func (c *clients) claimed(w *Simulation, one *holder, got *wire.ClaimResponse) {
	if one.state != claiming {
		return
	}
	if got.GetState() != wire.ClaimState_CLAIM_GRANTED {
		one.state = refused
		return
	}
	if w.source.Int(4) == 0 {
		one.state = givingUp // the deadline passed before the dispatch
		return
	}
	one.state = dispatched
	w.report.dispatched++
	if other, ok := c.dispatched[one.key]; ok {
		w.violate(OneHolder, fmt.Sprintf("%s was dispatched by %s and by %s", one.key, other, one.claimID))
	}
	c.dispatched[one.key] = one.claimID
}

// settle completes or releases an attempt, or sends its claim again late.
func (c *clients) settle(w *Simulation, at *host) {
	if len(c.holders) == 0 {
		return
	}
	one := c.holders[w.source.Int(len(c.holders))]
	switch one.state {
	case dispatched:
		c.complete(w, at, one)
	case givingUp:
		c.release(w, at, one)
	case released:
		// A claim that was delayed on its way arrives after its release.
		c.sendClaim(w, at, one)
	}
}

func (c *clients) complete(w *Simulation, at *host, one *holder) {
	req := &wire.CompleteRequest{Key: one.wireKey(), ClaimId: one.claimID, Answer: &wire.StoredAnswer{Status: 200}}
	a := &attempt{cmd: &wire.Command{Body: &wire.Command_Complete{Complete: req}}}
	a.then = func(result *wire.Result) {
		if result.GetComplete().GetStored() {
			one.state = answered
		}
	}
	a.start(w, at)
}

func (c *clients) release(w *Simulation, at *host, one *holder) {
	a := &attempt{cmd: one.releaseCommand()}
	a.then = func(result *wire.Result) {
		if result.GetRelease().GetReleased() {
			one.state = released
		}
	}
	a.start(w, at)
}

// finish releases every attempt that was given up, then checks that each key
// that nobody dispatched can still be claimed.
func (c *clients) finish(w *Simulation) {
	for _, one := range c.holders {
		if one.state == givingUp || one.state == claiming {
			w.propose(&attempt{cmd: one.releaseCommand()})
		}
	}
	for n := range claimKeys {
		key := fmt.Sprintf("key-%d", n)
		one := c.newHolder(key)
		a := &attempt{cmd: one.claimCommand(w)}
		w.propose(a)
		_, ran := c.dispatched[key]
		granted := a.result.GetClaim().GetState() == wire.ClaimState_CLAIM_GRANTED
		if granted && ran {
			w.violate(OneHolder, key+" is granted again after it was dispatched")
		}
		if !granted && !ran {
			w.violate(NoOrphanClaim, fmt.Sprintf("%s is held by %s, which gave up", key, a.result.GetClaim().GetHolder()))
		}
	}
}
