package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/admission"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

const service = "catalogue"

type fixture struct {
	*admission.Gate
	now  int64
	draw float64
}

func newFixture() *fixture {
	f := &fixture{now: int64(time.Hour), draw: 0.5}
	f.Gate = admission.New(admission.WithClock(func() int64 { return f.now }), admission.WithRandom(func() float64 { return f.draw }))
	return f
}

func (f *fixture) pass(d time.Duration) { f.now += int64(d) }

func flow(organisationRank, routeRank int, organisation string) route.Flow {
	return route.Flow{Service: service, OrganisationRank: organisationRank, RouteRank: routeRank, Organisation: organisation}
}

// Guards against an answer that is obeyed after the control host that gave it is gone, and
// against one without entries, as of a control host that does not decide, that ends another.
func TestAnswerIsObeyedForTwoSeconds(t *testing.T) {
	f := newFixture()
	_, admitted := f.Admit(flow(0, 0, "nord"))
	must.True(t, admitted)
	f.Store([]*wire.Admission{{Service: service, Share: 0}}, 0)
	f.Store(nil, 0)
	f.pass(admission.Validity)
	_, admitted = f.Admit(flow(0, 0, "nord"))
	must.False(t, admitted)
	f.pass(1)
	_, admitted = f.Admit(flow(0, 0, "nord"))
	must.True(t, admitted)
}

// Guards against an answer that is obeyed for 2 s from when it comes, however late that is,
// and against one that comes after a newer one and replaces it.
func TestAgeOfAnAnswerCounts(t *testing.T) {
	f := newFixture()
	f.Store([]*wire.Admission{{Service: service, Share: 0}}, time.Second)
	f.pass(admission.Validity - time.Second)
	_, admitted := f.Admit(flow(0, 0, "nord"))
	must.False(t, admitted)
	f.pass(1)
	_, admitted = f.Admit(flow(0, 0, "nord"))
	must.True(t, admitted)

	f.Store([]*wire.Admission{{Service: service, OrganisationRank: 1, Share: 0}}, 0)
	f.Store([]*wire.Admission{{Service: service, Share: 0}}, time.Second)
	_, admitted = f.Admit(flow(0, 0, "nord"))
	must.True(t, admitted)
	_, admitted = f.Admit(flow(1, 0, "nord"))
	must.False(t, admitted)
}

// Guards against a share that is applied to other organisations, ranks or services.
func TestShareIsThatOfTheOrganisationElseOfItsRanks(t *testing.T) {
	f := newFixture()
	f.Store([]*wire.Admission{
		{Service: service, OrganisationRank: 1, Rank: 2, Share: 0.4},
		{Service: service, OrganisationRank: 1, Rank: 2, Organisation: "nord", Share: 0.6},
	}, 0)
	for _, c := range []struct {
		flow     route.Flow
		admitted bool
	}{
		{flow(1, 2, "nord"), true},
		{flow(1, 2, "sud"), false},
		{flow(1, 2, ""), false},
		{flow(1, 0, "sud"), true},
		{flow(0, 2, "sud"), true},
		{route.Flow{Service: "other", OrganisationRank: 1, RouteRank: 2, Organisation: "sud"}, true},
	} {
		_, admitted := f.Admit(c.flow)
		must.Eq(t, c.admitted, admitted, must.Sprint(c.flow))
	}
}

// Guards against refused callers who all return at once, and against a wait without an end.
func TestWaitIsLongerTheLessIsAdmitted(t *testing.T) {
	f := newFixture()
	f.draw = 0.999
	last := time.Duration(0)
	for _, share := range []float64{0.9, 0.5, 0.2, 0.05, 0} {
		f.Store([]*wire.Admission{{Service: service, Share: share}}, 0)
		wait, admitted := f.Admit(flow(0, 0, ""))
		must.False(t, admitted)
		must.Between(t, last, wait, 5*time.Second)
		last = wait
	}
	must.Eq(t, 5*time.Second, last)
}

// Guards against rates that are wrong after a change of the load, and against entries of
// flows without requests.
func TestReportHasTheRecentRates(t *testing.T) {
	f := newFixture()
	for range 400 {
		f.pass(50 * time.Millisecond)
		f.Admit(flow(1, 2, "nord"))
		f.Served(flow(1, 2, "nord"), 200*time.Millisecond)
		f.Refused(flow(0, 0, ""))
	}
	report := f.Report()
	must.SliceLen(t, 2, report)
	must.Eq(t, "nord", report[0].GetOrganisation())
	must.Eq(t, 1, report[0].GetOrganisationRank())
	must.Eq(t, 2, report[0].GetRank())
	must.InDelta(t, 20, report[0].GetArrivalsPerS(), 0.5)
	must.InDelta(t, 20, report[0].GetServedPerS(), 0.5)
	must.InDelta(t, 4, report[0].GetSlots(), 0.1)
	must.InDelta(t, 20, report[1].GetRefusedPerS(), 0.5)
	f.pass(20 * time.Second)
	must.SliceEmpty(t, f.Report())
}

// Guards against a report that grows with the number of organisations, and against demand
// that is missing in the totals.
func TestReportOfManyOrganisationsIsBounded(t *testing.T) {
	f := newFixture()
	for range 10 {
		for n := range 500 {
			at := flow(n%2, 0, fmt.Sprintf("organisation-%03d", n))
			f.Admit(at)
			f.Served(at, time.Second)
			f.Refused(at)
		}
	}
	report, bytes, total := f.Report(), 0, 0.0
	must.SliceLen(t, 34, report)
	for _, d := range report {
		bytes += proto.Size(d)
		total += d.GetArrivalsPerS()
	}
	must.InDelta(t, 2500, total, 1)
	must.LessEq(t, 2500, bytes)
	t.Logf("%d bytes", bytes)
}
