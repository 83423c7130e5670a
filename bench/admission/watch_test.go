package admission_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/demand"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/operator"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/entry/admission"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	watchHosts = 4
	watchSlots = 20
	answerIn   = 8 * time.Second // for the first answer and that it is obeyed everywhere
)

// group is the control hosts of a test, by address; one of them leads.
type group struct {
	hosts  map[string]http.Handler
	leader atomic.Pointer[string]
	late   time.Duration // that responses are on their way
}

// RoundTrip makes the group a transport.
func (g *group) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	g.hosts[r.URL.Host].ServeHTTP(w, r)
	time.Sleep(g.late)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// replica is the log of one control host, which commits at once.
type replica struct {
	agreement.Log
	group   *group
	machine *state.Machine
}

func (r *replica) Confirm(context.Context) error { return nil }

func (r *replica) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	return r.machine.Apply(cmd), nil
}

func (r *replica) Status() agreement.Status {
	return agreement.NewStatus(*r.group.leader.Load(), "", 1, 0, true, nil)
}

func (g *group) lead(name string) { g.leader.Store(&name) }

// startGroup runs control hosts that have the same rules and instances.
func startGroup(ctx context.Context, t *testing.T, names ...string) *group {
	g := &group{hosts: map[string]http.Handler{}}
	g.lead(names[0])
	instances := make(records, watchSlots/2)
	for n := range instances {
		instances[n] = &wire.Instance{Service: service, Slots: 2}
	}
	for _, name := range names {
		log := &replica{group: g, machine: state.New()}
		reports := fleet.New()
		decider := demand.New(name, log, instances, reports, hclog.NewNullLogger())
		go decider.Run(ctx)
		served := operator.New(name, log, log.machine, reports).WithAdmission(decider)
		_, err := served.Submit(ctx, &wire.SubmitRequest{SubmissionId: "1", Text: "route " + service + " # Marie: tests\n"})
		must.NoError(t, err)
		g.hosts[name] = wire.NewRulesServer(served)
	}
	return g
}

// startWatch runs the watch of one entry host, and returns its gate.
func (g *group) startWatch(ctx context.Context, name string, group *sync.WaitGroup) *admission.Gate {
	gate := admission.New(admission.WithClock(func() int64 { return time.Now().UnixNano() }), admission.WithRandom(func() float64 { return 0.999 }))
	report := func() *wire.HostReport { return &wire.HostReport{Name: name, Demand: gate.Report()} }
	addresses := func() []string {
		var all []string
		for address := range g.hosts {
			all = append(all, address)
		}
		return all
	}
	watch := control.NewWatch(addresses, &http.Client{Transport: g}, rules.NewTable(), report, func([]*wire.GossipHost) {}, hclog.NewNullLogger(), control.WithAdmissions(gate.Store))
	group.Go(func() { watch.Run(ctx) })
	return gate
}

// load counts requests of 0.1 s at each gate for a time, and returns at which part of the
// 100 ms after a while the hot organisation was limited, over all hosts.
func load(gates []*admission.Gate, d, from time.Duration, hotTimes int) (limited, others float64) {
	checks, hotLimited, othersLimited := 0, 0, 0
	for step := time.Duration(0); step < d; step += 100 * time.Millisecond {
		time.Sleep(100 * time.Millisecond)
		for _, gate := range gates {
			for n, organisation := range []string{"o0", "o1", "o2", "o3"} {
				f := route.Flow{Service: service, Organisation: organisation}
				times := 1
				if n == 0 {
					times = hotTimes
				}
				admitted := true
				for range times {
					_, admitted = gate.Admit(f)
					gate.Served(f, 100*time.Millisecond)
				}
				if step < from || admitted {
					continue
				}
				if n == 0 {
					hotLimited++
				} else {
					othersLimited++
				}
			}
			if step >= from {
				checks++
			}
		}
	}
	return part(hotLimited, checks), part(othersLimited, 3*checks)
}

// Guards against a gap in the answers: with polls as they are sent, each entry host must be
// limited all the time while there is too much demand, whichever control host leads, and not
// at all 2 s after the last answer.
func TestAnswersOfTheLeaderReachEachHostInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := startGroup(ctx, t, "control-1", "control-2", "control-3")
		var group sync.WaitGroup
		var gates []*admission.Gate
		for n := range watchHosts {
			gates = append(gates, g.startWatch(ctx, fmt.Sprint(n), &group))
		}
		limited, others := load(gates, time.Minute, 0, 1)
		must.Zero(t, limited+others)
		limited, others = load(gates, 30*time.Second, answerIn, 8)
		must.Eq(t, 1, limited)
		must.Zero(t, others)

		g.lead("control-2")
		limited, others = load(gates, 30*time.Second, answerIn, 8)
		must.Eq(t, 1, limited)
		must.Zero(t, others)

		g.lead("none")
		limited, others = load(gates, 20*time.Second, admission.Validity+200*time.Millisecond, 8)
		must.Zero(t, limited+others)
		cancel()
		group.Wait()
	})
}

// Guards against an answer that is on its way for longer than it is to be obeyed, and is
// obeyed when it comes.
func TestLateAnswersAreNotObeyed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := startGroup(ctx, t, "control-1")
		g.late = admission.Validity + time.Millisecond
		var group sync.WaitGroup
		gates := []*admission.Gate{g.startWatch(ctx, "0", &group)}
		limited, others := load(gates, time.Minute, 0, 1)
		must.Zero(t, limited+others)
		limited, others = load(gates, 30*time.Second, 0, 200)
		must.Zero(t, limited+others)
		cancel()
		group.Wait()
	})
}
