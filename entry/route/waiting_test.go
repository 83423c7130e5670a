package route_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/instance"
)

// slowFixture is an instance that reports slow moments, and another of the service that
// takes no request.
func slowFixture() *fixture {
	f := newFixture(2, route.NewAdaptive(route.WithFill(0.8)))
	f.change(1, instance.WithDraining(true))
	return f
}

func (f *fixture) reportOf(n int, slowdown float64) {
	f.router.RecordProbe(f.members[n], route.ProbeReport{Answered: true, Healthy: true, HasLoad: true, Slowdown: slowdown})
}

// report is a report of the first instance while the other has its usual speed.
func (f *fixture) report(slowdown float64) {
	f.reportOf(1, 1)
	f.reportOf(0, slowdown)
}

// Guards against a request that is sent to an instance in a slow moment, in which it takes
// several times as long as if it had waited for the next.
func TestRequestWaitsUntilASlowMomentHasPassed(t *testing.T) {
	f := slowFixture()
	f.report(4)
	var granted *route.Ticket
	_, waiter, err := f.router.Offer(query(), func(ticket *route.Ticket, err error) {
		must.NoError(t, err)
		granted = ticket
	})
	must.NoError(t, err)
	must.NotNil(t, waiter)
	f.now += int64(100 * time.Millisecond)
	f.router.RetryWaiting()
	must.Nil(t, granted)
	f.report(1)
	must.NotNil(t, granted)
}

func TestRequestWaitsNoLongerThanAReportOfASlowMomentCounts(t *testing.T) {
	f := slowFixture()
	f.report(4)
	var granted *route.Ticket
	_, _, err := f.router.Offer(query(), func(ticket *route.Ticket, _ error) { granted = ticket })
	must.NoError(t, err)
	f.now += int64(150 * time.Millisecond)
	f.router.RetryWaiting()
	must.NotNil(t, granted)
}

// Guards against requests that are held while an instance is slow for good.
func TestInstanceThatIsSlowForLongIsUsed(t *testing.T) {
	f := slowFixture()
	for range 21 {
		f.report(4)
		f.now += int64(100 * time.Millisecond)
	}
	ticket, err := f.offer(query())
	must.NoError(t, err)
	must.NotNil(t, ticket)
}

// Guards against requests that are held because every instance of the service is slow.
func TestServiceThatIsSlowAsAWholeIsUsed(t *testing.T) {
	f := slowFixture()
	f.report(4)
	for range 6 {
		f.now += int64(100 * time.Millisecond)
		f.reportOf(0, 4)
	}
	ticket, err := f.offer(query())
	must.NoError(t, err)
	must.NotNil(t, ticket)
}
