package quota_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/quota"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/wire"
)

const roundTrip = 2 * time.Millisecond

// leader grants all that is asked for, unless it is gone or refuses.
type leader struct {
	gone       atomic.Bool
	retryAfter atomic.Int64 // of refusals, 0 for none
	calls      atomic.Int32
	last       atomic.Pointer[wire.OrganisationGrantRequest]
}

func (l *leader) call(ctx context.Context, next func() *wire.OrganisationGrantRequest) (*wire.OrganisationGrantResponse, error) {
	l.calls.Add(1)
	req := next()
	l.last.Store(req)
	time.Sleep(roundTrip)
	if l.gone.Load() || ctx.Err() != nil {
		return nil, errors.New("no control host leads")
	}
	response := &wire.OrganisationGrantResponse{
		Leader: true, Term: 1, ValidNs: int64(3 * time.Second), WaitingValidNs: int64(150 * time.Millisecond), PauseNs: int64(50 * time.Millisecond),
	}
	for _, need := range req.GetNeeds() {
		grant := &wire.OrganisationGrant{Organisation: need.GetOrganisation(), Renewed: true, RetryAfterNs: l.retryAfter.Load()}
		if grant.GetRetryAfterNs() == 0 {
			grant.Requests = need.GetWaiting() + need.GetReserve() - min(need.GetHeld(), need.GetReserve())
		}
		response.Grants = append(response.Grants, grant)
	}
	return response, nil
}

var nord = contract.NewOrganisation("nord", contract.WithOrganisationRate(100))

// newReserve returns a running reserve.
func newReserve(t *testing.T, l *leader) *quota.Reserve {
	t.Helper()
	start := time.Now()
	ledger := quota.NewLedger("e1", func() int64 { return int64(time.Since(start)) }, func(string) *contract.Organisation { return nord })
	r := quota.New(ledger, l.call)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

// waitOf acquires a token and returns how long that took.
func waitOf(t *testing.T, r *quota.Reserve) (time.Duration, *quota.Token, *quota.Refusal) {
	t.Helper()
	began := time.Now()
	token, refusal := r.Acquire(t.Context(), nord, time.Minute)
	return time.Since(began), token, refusal
}

func TestOnlyTheFirstRequestWaitsForAGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReserve(t, &leader{})
		wait, token, refusal := waitOf(t, r)
		must.Nil(t, refusal)
		must.True(t, token.Spend())
		must.Eq(t, roundTrip, wait)
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			wait, token, refusal = waitOf(t, r)
			must.Nil(t, refusal)
			must.True(t, token.Spend())
			must.Zero(t, wait)
		}
	})
}

// Guards against a reserve that lapses while there is no leader for 2 s, and against one
// that is used after its validity.
func TestReserveLastsWhileTheLeaderChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{}
		r := newReserve(t, l)
		_, _, refusal := waitOf(t, r)
		must.Nil(t, refusal)
		time.Sleep(5 * time.Second)
		l.gone.Store(true)
		time.Sleep(1900 * time.Millisecond)
		wait, token, refusal := waitOf(t, r)
		must.Nil(t, refusal)
		must.Zero(t, wait)
		must.True(t, token.Spend())
		time.Sleep(3 * time.Second)
		wait, _, refusal = waitOf(t, r)
		must.Eq(t, outcome.NotReady, refusal.Reason())
		must.Positive(t, refusal.RetryAfter())
		must.Eq(t, 400*time.Millisecond, wait)
	})
}

func TestRequestWithLittleTimeWaitsForAPartOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{}
		l.gone.Store(true)
		r := newReserve(t, l)
		began := time.Now()
		_, refusal := r.Acquire(t.Context(), nord, 200*time.Millisecond)
		must.Eq(t, outcome.NotReady, refusal.Reason())
		must.Eq(t, 50*time.Millisecond, time.Since(began))
	})
}

// Guards against a refusal that comes after a long wait, and one that comes although the
// leader says that a token is there soon.
func TestRefusalOfTheLeaderIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{}
		l.retryAfter.Store(int64(time.Second))
		r := newReserve(t, l)
		wait, _, refusal := waitOf(t, r)
		must.Eq(t, outcome.OrganisationRate, refusal.Reason())
		must.Eq(t, time.Second, refusal.RetryAfter())
		must.Eq(t, roundTrip, wait)
		l.retryAfter.Store(int64(100 * time.Millisecond))
		go func() {
			time.Sleep(50 * time.Millisecond)
			l.retryAfter.Store(0)
		}()
		wait, _, refusal = waitOf(t, r)
		must.Nil(t, refusal)
		must.Less(t, 150*time.Millisecond, wait)
	})
}

// Requests of an organisation at its limit waited for up to 400 ms and were then served late,
// with tokens that requests in time did not get.
func TestRequestBeyondTheLimitDoesNotWaitUntilItIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{}
		l.retryAfter.Store(int64(150 * time.Millisecond))
		r := newReserve(t, l)
		took, token, refusal := waitOf(t, r)
		must.Nil(t, token)
		must.Eq(t, outcome.OrganisationRate, refusal.Reason())
		must.Less(t, 10*time.Millisecond, took)

		l.retryAfter.Store(int64(40 * time.Millisecond)) // comes within the time that it may wait
		time.Sleep(time.Second)
		go func() {
			time.Sleep(20 * time.Millisecond)
			l.retryAfter.Store(0)
		}()
		took, token, _ = waitOf(t, r)
		must.NotNil(t, token)
		must.Less(t, 100*time.Millisecond, took)
	})
}

// Guards against an organisation that counts as at its limit for longer than the leader says.
func TestOrganisationIsReadyAgainOnceTheLeaderMayHaveATokenOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{}
		r := newReserve(t, l)
		must.True(t, r.Ready(nord))
		l.retryAfter.Store(int64(time.Second))
		_, _, refusal := waitOf(t, r)
		must.NotNil(t, refusal)
		must.False(t, r.Ready(nord))
		l.retryAfter.Store(0)
		time.Sleep(1500 * time.Millisecond)
		must.True(t, r.Ready(nord))
	})
}

// Guards against a request that ends without having been sent and stays charged, and
// against one that is charged twice.
func TestTokenIsSpentOnceOrReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{}
		r := newReserve(t, l)
		_, first, _ := waitOf(t, r)
		must.True(t, first.Spend())
		time.Sleep(100 * time.Millisecond)
		_, second, _ := waitOf(t, r)
		second.Release()
		second.Release()
		must.False(t, second.Spend())
		l.gone.Store(true)
		wait, third, refusal := waitOf(t, r)
		must.Nil(t, refusal)
		must.Zero(t, wait)
		must.True(t, third.Spend())
		must.True(t, third.Spend())
		third.Restore()
		third.Release()
		wait, fourth, refusal := waitOf(t, r)
		must.Nil(t, refusal)
		must.Zero(t, wait)
		must.True(t, fourth.Usable())
		time.Sleep(3 * time.Second)
		must.False(t, fourth.Usable())
		must.False(t, fourth.Spend())
	})
}

// Guards against reserves that stay at hosts which no longer serve the organisation.
func TestReserveThatIsNotUsedIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{}
		r := newReserve(t, l)
		waitOf(t, r)
		time.Sleep(9 * time.Second)
		must.Eq(t, 1, l.last.Load().GetNeeds()[0].GetReserve())
		time.Sleep(3 * time.Second)
		must.Eq(t, 1, l.last.Load().GetNeeds()[0].GetReturned())
		calls := l.calls.Load()
		time.Sleep(time.Hour)
		must.Eq(t, calls, l.calls.Load())
	})
}

func TestOrganisationWithoutALimitIsNeverCharged(t *testing.T) {
	l := &leader{}
	r := quota.New(quota.NewLedger("e1", func() int64 { return 0 }, nil), l.call)
	for _, o := range []*contract.Organisation{nil, contract.NewOrganisation("sud")} {
		token, refusal := r.Acquire(t.Context(), o, time.Second)
		must.Nil(t, token)
		must.Nil(t, refusal)
		must.True(t, token.Spend())
		token.Restore()
		token.Release()
	}
	must.Zero(t, l.calls.Load())
}
