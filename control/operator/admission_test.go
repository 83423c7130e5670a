package operator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/wire"
)

type fixedAdmission struct {
	leads      bool
	admissions []*wire.Admission
}

func (a *fixedAdmission) Leads() bool { return a.leads }

func (a *fixedAdmission) Admissions() []*wire.Admission { return a.admissions }

// Guards against an answer that arrives less often than it is obeyed, and against more polls
// where no rules hold organisations or at hosts that do not decide.
func TestPollOfTheLeaderIsShortWhileThereIsDemand(t *testing.T) {
	demand := []*wire.Demand{{Service: "catalogue", ArrivalsPerS: 1}}
	limited := []*wire.Admission{{Service: "catalogue", Share: 0.5}}
	for _, c := range []struct {
		leads      bool
		demand     []*wire.Demand
		admissions []*wire.Admission
		wait       time.Duration
	}{
		{true, demand, nil, time.Second},
		{true, nil, limited, time.Second},
		{true, demand, limited, time.Second},
		{true, nil, nil, 3 * time.Second},
		{false, demand, nil, 3 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			rules, _ := newRules()
			rules.WithAdmission(&fixedAdmission{c.leads, c.admissions})
			submit(t, rules, 1)
			start := time.Now()
			got, err := rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 3000, Report: &wire.HostReport{Name: "a", Demand: c.demand}})
			must.NoError(t, err)
			must.Eq(t, c.wait+confirmTime, time.Since(start))
			must.Eq(t, len(c.admissions), len(got.GetAdmissions()))
			held := time.Duration(0) // no bytes where nothing is limited
			if len(c.admissions) > 0 {
				held = c.wait + confirmTime
			}
			must.Eq(t, held.Milliseconds(), got.GetHeldMs())
		})
	}
}
