// Package quota keeps a small reserve of the requests that the leader of the control hosts
// grants to organisations with a limit.
//
// A request takes a token from the reserve at once. Only the first request of an
// organisation at this host, or one that finds the reserve empty, waits for a grant. The
// reserve is filled and renewed in the background, by one call at a time; this host runs
// nothing that it was not granted. The accounting is in Ledger, which opens no connection.
//
// Usage:
//
//	reserve := quota.New(quota.NewLedger(process, clock.Now, terms), client.GrantOrganisations)
//	go reserve.Run(ctx)
//	token, refusal := reserve.Acquire(ctx, organisation, left)
//	if refusal != nil { ... }
//	defer token.Release()
//	if token.Spend() { ... send the request ... }
package quota

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/wire"
)

var (
	granted      = metrics.GetOrCreateCounter(`snipebeam_organisation_requests_granted_total`)
	refusedLimit = metrics.GetOrCreateCounter(`snipebeam_organisation_requests_refused_total{cause="limit"}`)
	refusedWait  = metrics.GetOrCreateCounter(`snipebeam_organisation_requests_refused_total{cause="leader"}`)
	waits        = metrics.GetOrCreateCounter(`snipebeam_organisation_grant_waits_total`)
	waitMicros   = metrics.GetOrCreateCounter(`snipebeam_organisation_grant_wait_microseconds_total`)
	calls        = metrics.GetOrCreateCounter(`snipebeam_organisation_grant_calls_total`)
	failures     = metrics.GetOrCreateCounter(`snipebeam_organisation_grant_calls_failed_total`)
)

// CallFunc calls the leader. It calls next for each control host that it tries, just before.
type CallFunc func(ctx context.Context, next func() *wire.OrganisationGrantRequest) (*wire.OrganisationGrantResponse, error)

// Reserve holds the tokens of this host.
type Reserve struct {
	ledger *Ledger
	call   CallFunc
	wake   chan struct{}
}

// New returns a reserve.
func New(ledger *Ledger, call CallFunc) *Reserve {
	return &Reserve{ledger: ledger, call: call, wake: make(chan struct{}, 1)}
}

// Acquire returns a token for a request with the given time left, or why there is none. It
// waits for a short part of that time. The token is nil if the organisation has no limit.
func (r *Reserve) Acquire(ctx context.Context, o *contract.Organisation, left time.Duration) (*Token, *Refusal) {
	if !o.Limited() {
		return nil, nil
	}
	request := r.ledger.Acquire(o, left)
	select {
	case <-request.Done():
		r.wakeUp() // the reserve may need to be filled
	default:
		r.wait(ctx, request, min(maxPatience, left/patiencePart))
	}
	token, refusal := request.Result()
	count(refusal)
	return token, refusal
}

// Ready reports whether a request of the organisation is unlikely to wait for long.
func (r *Reserve) Ready(o *contract.Organisation) bool { return !o.Limited() || r.ledger.Ready(o) }

// wait waits until the request is decided.
func (r *Reserve) wait(ctx context.Context, request *Request, patience time.Duration) {
	r.wakeUp()
	started := time.Now()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-request.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	r.ledger.End(request)
	waits.Inc()
	waitMicros.Add(int(time.Since(started).Microseconds()))
}

func count(refusal *Refusal) {
	switch {
	case refusal == nil:
		granted.Inc()
	case refusal.Reason() == outcome.OrganisationRate:
		refusedLimit.Inc()
	default:
		refusedWait.Inc()
	}
}

func (r *Reserve) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run calls the leader whenever the ledger needs it, until the context ends.
func (r *Reserve) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		at, needed := r.ledger.Due()
		wait := time.Duration(at - r.ledger.now())
		if needed && wait <= 0 {
			r.request(ctx)
			continue
		}
		var due <-chan time.Time
		if needed {
			timer.Reset(wait)
			due = timer.C
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-due:
		}
	}
}

func (r *Reserve) request(ctx context.Context) {
	calls.Inc()
	response, err := r.call(ctx, r.ledger.Begin)
	if err != nil {
		failures.Inc()
		r.ledger.Fail()
		return
	}
	r.ledger.Apply(response)
}
