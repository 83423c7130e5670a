package caller

import (
	"slices"
	"time"

	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/rule"
)

// maxRulesAge is the time within which an accepted version is in force on every
// entry host that is in touch with the control hosts.
const maxRulesAge = 2 * time.Second

// acquire returns a ticket for the next attempt. The request may wait for it, so
// that the rules in force are applied once more before it is sent.
func (h *Handler) acquire(c *call, tried []instance.ID) (*route.Ticket, error) {
	for {
		ticket, err := h.cfg.Router.Acquire(c.ctx, c.query(h.cfg.Zone, tried))
		if c.ctx.Err() != nil {
			return ticket, err
		}
		moved, problem := h.rebind(c)
		if !moved && problem == nil {
			return ticket, err
		}
		if ticket != nil {
			ticket.Release()
		}
		if problem != nil {
			return nil, problem
		}
	}
}

// rebind applies a version that came into force after the request was matched. A
// request of which nothing was sent moves to another service if the version does
// not allow its service any more; it otherwise keeps its rule. A request with a
// claim is bound to its service by the claim.
func (h *Handler) rebind(c *call) (moved bool, problem *outcome.Problem) {
	inForce := h.cfg.Table.Current()
	if inForce.Number() == c.version || c.dispatched || c.rule.Contract().Once() {
		return false, nil
	}
	found, problem := h.find(c, inForce.Set())
	organisation := c.organisation
	if problem == nil {
		organisation, problem = identify(c.r, c.dialect, inForce.Set(), found)
	}
	switch {
	case problem != nil && c.rulesOutdated:
		return false, problem
	case problem != nil: // the route and the key were in force when the request arrived
		return false, nil
	case slices.Contains(found.Services(), c.service):
		return false, nil
	case !h.mayMove(c, found):
		return false, outcome.New(outcome.NotRun, outcome.NotReady, "the rules changed while this host held the request")
	}
	c.rule, c.version, c.service = found, inForce.Number(), h.shares.pick(found)
	if organisation.Name() != c.organisation.Name() {
		c.token.Release()
		c.token = nil
	}
	c.organisation, c.keyed = organisation, len(inForce.Set().Organisations()) > 0
	now := time.Now()
	c.backlogEntry.End(false, now)
	c.backlogEntry = h.cfg.Backlog.Track(c.service, now)
	c.backlogEntry.SetID(c.id)
	c.fingerprint = c.poisonFingerprint()
	return true, h.refusePoison(c)
}

// mayMove reports whether a request that was admitted by one rule may be sent by
// another. What was checked and prepared on admission is not repeated.
func (h *Handler) mayMove(c *call, to *rule.Rule) bool {
	terms := to.Contract()
	return !terms.Once() && terms.Finish() == c.rule.Contract().Finish() && h.bodyLimit(terms) >= c.body.maxBytes
}
