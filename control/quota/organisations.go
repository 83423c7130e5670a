package quota

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

const (
	// cleanInterval is the time between two walks over all hosts and buckets, and how long
	// a host is known after its last call, which is longer than it holds anything.
	cleanInterval = 10 * time.Second
	// maxContactAge is the age of the last contact with a quorum from which a leader does not
	// grant: others may elect a successor, by default, while this host waits for its disk.
	maxContactAge = 300 * time.Millisecond
	// belowLimitAfter is the time without a refusal after which an organisation counts as
	// below its limit.
	belowLimitAfter = 2 * time.Second
	// logInterval is the least time between two lines about limits of organisations.
	logInterval = time.Second
)

var (
	grantedOrganisations = metrics.GetOrCreateCounter("snipebeam_granted_organisation_requests_total")
	refusedOrganisations = metrics.GetOrCreateCounter("snipebeam_refused_organisation_requests_total")
)

// WithOrganisations sets the function that returns the terms of an organisation in the
// rules in force, nil if there is none.
func WithOrganisations(terms func(name string) *contract.Organisation) Option {
	return func(s *Service) { s.organisations.terms = terms }
}

// WithLogger sets the logger of organisations that reach their limits.
func WithLogger(logger hclog.Logger) Option {
	return func(s *Service) { s.organisations.logger = logger }
}

// organisations are the grants within the limits of organisations. The lock of the service
// guards them.
type organisations struct {
	terms     func(name string) *contract.Organisation
	logger    hclog.Logger
	confirmed uint64 // last term in which the rules in force are known to be current
	term      uint64
	since     time.Time
	buckets   map[string]*organisationBucket
	accounts  map[string]*account
	cleanedAt time.Time
	loggedAt  time.Time
}

func newOrganisations() organisations {
	return organisations{terms: func(string) *contract.Organisation { return nil }, logger: hclog.NewNullLogger()}
}

// account is what the leader knows of the calls of one process of a host.
type account struct {
	sequence uint64 // of its last call
	at       time.Time
	pending  []pendingGrant // of that call, which the host may not have got
}

type pendingGrant struct {
	bucket    *organisationBucket
	takenBack int
	reserve   int
	waiting   *waitingGrant
}

// GrantOrganisations grants an entry host requests within the limits of organisations. In
// any window of 5 s all hosts together run at most what the bucket of an organisation held
// at its begin, and what its rate adds.
func (s *Service) GrantOrganisations(ctx context.Context, req *wire.OrganisationGrantRequest) (*wire.OrganisationGrantResponse, error) {
	if status := s.log.Status(); status.Leader() != s.name {
		return &wire.OrganisationGrantResponse{LeaderAddress: status.LeaderAddress()}, nil
	} else if err := s.confirmRules(ctx, status.Term()); err != nil {
		return nil, err
	}
	status, now := s.log.Status(), s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteSuspension(now)
	if status.Leader() != s.name || status.Term() != s.organisations.confirmed {
		return &wire.OrganisationGrantResponse{LeaderAddress: status.LeaderAddress()}, nil
	}
	if !status.Quorum() || !recentContact(status, now) || now.Before(s.resumedAt.Add(Validity)) {
		return nil, twirp.NewError(twirp.Unavailable, "this control host does not grant yet")
	}
	o := &s.organisations
	o.startTerm(status)
	o.clean(now)
	owner := o.account(req, now)
	if owner == nil {
		return nil, twirp.NewError(twirp.Unavailable, "a later call of this host has arrived")
	}
	response := &wire.OrganisationGrantResponse{
		Leader: true, Term: o.term, PauseNs: int64(s.pause(req.GetHost(), now)),
		ValidNs: int64(reserveValidity), WaitingValidNs: int64(waitingValidity),
	}
	named := make(map[string]bool, len(req.GetNeeds()))
	for _, need := range req.GetNeeds() {
		if name := need.GetOrganisation(); !named[name] {
			named[name] = true
			response.Grants = append(response.Grants, o.grant(owner, need, req.GetTerm() == o.term, now))
		}
	}
	return response, nil
}

// confirmRules returns nil once the rules include what was committed before the given term. A
// new leader may not have applied them yet, and does not know of a limit that they have.
func (s *Service) confirmRules(ctx context.Context, term uint64) error {
	s.mu.Lock()
	confirmed := s.organisations.confirmed >= term
	s.mu.Unlock()
	if confirmed {
		return nil
	}
	if err := s.log.Confirm(ctx); err != nil {
		return twirp.NewError(twirp.Unavailable, "this control host has not applied the rules in force yet")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.organisations.confirmed = max(s.organisations.confirmed, term)
	return nil
}

// recentContact reports whether a quorum has answered lately, as far as the log tells.
func recentContact(status agreement.Status, now time.Time) bool {
	return status.AsOf().IsZero() || now.Sub(status.AsOf()) < maxContactAge
}

// startTerm drops what was granted in an earlier term.
func (o *organisations) startTerm(status agreement.Status) {
	if o.buckets != nil && status.Term() == o.term && status.LeadsSince().Equal(o.since) {
		return
	}
	o.term, o.since = status.Term(), status.LeadsSince()
	o.buckets, o.accounts = map[string]*organisationBucket{}, map[string]*account{}
}

// account records a call and takes back what the host has not got of the response to the
// one before. It returns nil for a call that was sent before another that has arrived: the
// host drops the response to it.
func (o *organisations) account(req *wire.OrganisationGrantRequest, now time.Time) *account {
	owner := o.accounts[req.GetHost()]
	if owner == nil {
		owner = &account{}
		o.accounts[req.GetHost()] = owner
	} else if req.GetSequence() <= owner.sequence {
		return nil
	}
	if req.GetApplied() < owner.sequence {
		for _, g := range owner.pending {
			g.bucket.sweep(now)
			g.bucket.fill(now)
			g.bucket.cancel(owner, g, now)
		}
	}
	owner.sequence, owner.at, owner.pending = req.GetSequence(), now, owner.pending[:0]
	return owner
}

// grant grants requests of one organisation. known reports whether the host holds what
// this leader granted.
func (o *organisations) grant(owner *account, need *wire.OrganisationNeed, known bool, now time.Time) *wire.OrganisationGrant {
	name, waiting := need.GetOrganisation(), int(min(need.GetWaiting(), maxWanted))
	terms := o.terms(name)
	if !terms.Limited() {
		return &wire.OrganisationGrant{Organisation: name, Requests: uint32(waiting)}
	}
	b := o.buckets[name]
	if b == nil {
		b = newOrganisationBucket(terms, o.since, now)
		o.buckets[name] = b
	}
	b.refresh(terms, now)
	held, returned, renewed := int(min(need.GetHeld(), maxWanted)), int(min(need.GetReturned(), maxWanted)), true
	l := b.reserveOf(owner, now)
	takenBack := 0
	if known {
		takenBack = b.state(l, held, returned)
	} else {
		renewed = b.adopt(l, held, now)
	}
	forWaiting := b.grantWaiting(waiting, now)
	reserved := 0
	if forWaiting.tokens == waiting {
		reserved = b.reserve(l, int(min(need.GetReserve(), maxWanted))-l.tokens, now)
	}
	owner.pending = append(owner.pending, pendingGrant{bucket: b, takenBack: takenBack, reserve: reserved, waiting: forWaiting})
	grant := &wire.OrganisationGrant{Organisation: name, Requests: uint32(forWaiting.tokens + reserved), Renewed: renewed}
	if refused := waiting - forWaiting.tokens; refused > 0 {
		refusedOrganisations.Add(refused)
		grant.RetryAfterNs = int64(b.refuse(refused, now))
	}
	grantedOrganisations.Add(forWaiting.tokens + reserved)
	o.logLimit(name, b, now)
	return grant
}

// logLimit logs that an organisation reached its limit or is below it again.
func (o *organisations) logLimit(name string, b *organisationBucket, now time.Time) {
	limited := !b.refusedAt.IsZero() && now.Sub(b.refusedAt) < belowLimitAfter
	if limited == b.limited || now.Sub(o.loggedAt) < logInterval {
		return
	}
	b.limited, o.loggedAt = limited, now
	if limited {
		o.logger.Info("organisation reached its limit", "organisation", name, "perSecond", b.terms.Rate(), "burst", b.terms.Burst())
		return
	}
	o.logger.Info("organisation below its limit again", "organisation", name)
}

// clean forgets hosts that have stopped calling, and buckets that a new one equals.
func (o *organisations) clean(now time.Time) {
	if now.Sub(o.cleanedAt) < cleanInterval {
		return
	}
	o.cleanedAt = now
	for host, owner := range o.accounts {
		if now.Sub(owner.at) >= cleanInterval {
			delete(o.accounts, host)
		}
	}
	for name, b := range o.buckets {
		unused := now.Sub(b.at) >= cleanInterval
		b.sweep(now)
		b.fill(now)
		o.logLimit(name, b, now)
		if b.idle(now) || unused && !o.terms(name).Limited() {
			delete(o.buckets, name)
		}
	}
}
