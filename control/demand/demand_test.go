package demand_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/demand"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/world/wire"
)

const service = "catalogue"

// log is a log of which only the status is used.
type log struct {
	agreement.Log
	leader atomic.Pointer[string]
	lost   atomic.Bool
}

func (l *log) Status() agreement.Status {
	return agreement.NewStatus(*l.leader.Load(), "", 1, 0, !l.lost.Load(), nil)
}

func (l *log) lead(name string) { l.leader.Store(&name) }

type records []*wire.Instance

func (r records) Instances(uint64) ([]*wire.Instance, uint64) { return r, 1 }

func (records) EvacuatedZones() ([]string, uint64) { return []string{"nord"}, 1 }

type fixture struct {
	*demand.Decider
	log   *log
	fleet *fleet.Fleet
}

// start runs a decider of 20 usable slots.
func start(t *testing.T) *fixture {
	all := records{{Service: service, Slots: 100, Silent: true}, {Service: service, Slots: 100, Draining: true}, {Service: service, Slots: 100, Gone: true}, {Service: service, Slots: 100, Zone: "nord"}}
	for range 10 {
		all = append(all, &wire.Instance{Service: service, Slots: 2})
	}
	f := &fixture{log: &log{}, fleet: fleet.New()}
	f.log.lead("control-1")
	f.Decider = demand.New("control-1", f.log, all, f.fleet, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.Run(ctx)
	return f
}

// report reports for a time, once a second, that ten hosts get requests of 0.1 s, of which
// nord sends a multiple of its usual rate.
func (f *fixture) report(d time.Duration, times float64) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(time.Second) {
		for n := range 10 {
			f.fleet.Report(&wire.HostReport{Name: fmt.Sprint(n), Demand: []*wire.Demand{
				{Service: service, Organisation: "nord", ArrivalsPerS: 5 * times, ServedPerS: 5 * times, Slots: 0.5 * times},
				{Service: service, Organisation: "sud", ArrivalsPerS: 5, ServedPerS: 5, Slots: 0.5},
				{Service: service, Organisation: "est", ArrivalsPerS: 1, ServedPerS: 1, Slots: 0.1},
				{Service: "unknown", Organisation: "est", ArrivalsPerS: 1e6},
			}}, time.Now())
		}
	}
}

// Guards against figures of single hosts in place of their sum, against instances that count
// although they take no requests, and against a limit for more than the hot organisation.
func TestLeaderLimitsTheHotOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.report(time.Minute, 1)
		must.SliceEmpty(t, f.Admissions())
		f.report(20*time.Second, 6)
		got := f.Admissions()
		must.SliceLen(t, 1, got)
		must.Eq(t, "nord", got[0].GetOrganisation())
		must.Eq(t, service, got[0].GetService())
		// 20 slots of which 92% are given away, less 6 for the others, of 30.
		must.InDelta(t, (20*0.92-6)/30, got[0].GetShare(), 0.05)
		f.report(time.Minute, 1)
		must.SliceEmpty(t, f.Admissions())
	})
}

// Guards against answers of several control hosts, and against a new leader that knows
// nothing of the usual rates.
func TestOnlyALeaderWithAQuorumAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.log.lead("control-2")
		f.report(time.Minute, 1)
		f.report(20*time.Second, 6)
		must.SliceEmpty(t, f.Admissions())
		must.False(t, f.Leads())
		f.log.lead("control-1")
		must.SliceLen(t, 1, f.Admissions())
		f.log.lost.Store(true)
		must.SliceEmpty(t, f.Admissions())
	})
}

// Guards against an answer that stays in force after the reports end.
func TestAnswerEndsWithTheReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.report(time.Minute, 1)
		f.report(20*time.Second, 6)
		must.SliceNotEmpty(t, f.Admissions())
		time.Sleep(fleet.SilentAfter + time.Minute)
		must.SliceEmpty(t, f.Admissions())
	})
}
