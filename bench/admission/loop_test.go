// Package admission_test runs the whole loop of admission in virtual time: gates of entry
// hosts, their reports, the decider of the control hosts, and its answers.
package admission_test

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	"github.com/snipebeam/snipebeam/entry/admission"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	service   = "catalogue"
	hosts     = 40
	slots     = 80
	work      = 200 * time.Millisecond
	maxWait   = 300 * time.Millisecond
	loopStep  = 10 * time.Millisecond
	usualRate = 0.65 * slots / 0.2 // requests a second of all organisations
	names     = 10
	hot       = "o0"
	times     = 8.0
	settle    = 8 * time.Second
)

type log struct {
	agreement.Log
	leads atomic.Bool
}

func (l *log) Status() agreement.Status {
	leader := "control-2"
	if l.leads.Load() {
		leader = "control-1"
	}
	return agreement.NewStatus(leader, "", 1, 0, true, nil)
}

type records []*wire.Instance

func (r records) Instances(uint64) ([]*wire.Instance, uint64) { return r, 1 }

func (records) EvacuatedZones() ([]string, uint64) { return nil, 0 }

type loop struct {
	log     *log
	fleet   *fleet.Fleet
	decider *demand.Decider
	gates   []*admission.Gate
	random  *rand.Rand

	mu      sync.Mutex
	running int
	queue   []*request
	counts  map[string]*tally
}

type request struct {
	gate    *admission.Gate
	flow    route.Flow
	arrived time.Time
	count   *tally
}

type tally struct{ all, served, gated int }

func start(t *testing.T, leads bool) *loop {
	var instances records
	for range slots / 2 {
		instances = append(instances, &wire.Instance{Service: service, Slots: 2})
	}
	l := &loop{log: &log{}, fleet: fleet.New(), random: rand.New(rand.NewPCG(3, 5)), counts: map[string]*tally{}}
	l.log.leads.Store(leads)
	l.decider = demand.New("control-1", l.log, instances, l.fleet, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go l.decider.Run(ctx)
	for n := range hosts {
		draws := rand.New(rand.NewPCG(uint64(n), 9))
		gate := admission.New(admission.WithClock(func() int64 { return time.Now().UnixNano() }), admission.WithRandom(draws.Float64))
		l.gates = append(l.gates, gate)
		go l.poll(ctx, n, gate)
	}
	return l
}

// poll reports to the leader and takes its answer at the interval of its polls.
func (l *loop) poll(ctx context.Context, n int, gate *admission.Gate) {
	pause.For(ctx, time.Duration(n)*time.Second/hosts)
	for ctx.Err() == nil {
		l.fleet.Report(&wire.HostReport{Name: fmt.Sprint(n), Demand: gate.Report()}, time.Now())
		if !pause.For(ctx, time.Second) {
			return
		}
		gate.Store(l.decider.Admissions(), 0)
	}
}

// run sends load for a time and counts it.
func (l *loop) run(d, from time.Duration, hotTimes float64) map[string]*tally {
	l.counts = map[string]*tally{"others": {}, hot: {}}
	started := time.Now()
	for time.Since(started) < d {
		time.Sleep(loopStep)
		counted := time.Since(started) >= from
		for n := range names {
			name, rate := fmt.Sprintf("o%d", n), usualRate/names
			if name == hot {
				rate *= hotTimes
			}
			for expected := rate * loopStep.Seconds(); l.random.Float64() < expected; expected-- {
				l.request(name, counted)
			}
		}
	}
	time.Sleep(maxWait + 2*work)
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *loop) request(name string, counted bool) {
	r := &request{gate: l.gates[l.random.IntN(hosts)], flow: route.Flow{Service: service, Organisation: name}, arrived: time.Now(), count: &tally{}}
	if counted {
		r.count = l.counts["others"]
		if name == hot {
			r.count = l.counts[hot]
		}
	}
	_, admitted := r.gate.Admit(r.flow)
	l.mu.Lock()
	defer l.mu.Unlock()
	r.count.all++
	if !admitted {
		r.count.gated++
		return
	}
	l.queue = append(l.queue, r)
	l.dispatch()
}

// dispatch fills the slots in order of arrival. The caller holds the lock.
func (l *loop) dispatch() {
	for len(l.queue) > 0 && l.running < slots {
		r := l.queue[0]
		l.queue = l.queue[1:]
		if time.Since(r.arrived) > maxWait {
			r.gate.Refused(r.flow)
			continue
		}
		r.count.served++
		l.running++
		time.AfterFunc(work, func() { l.finish(r) })
	}
}

func (l *loop) finish(r *request) {
	r.gate.Served(r.flow, work)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.dispatch()
}

func part(n, all int) float64 { return float64(n) / float64(max(all, 1)) }

// Guards against answers that do not reach the hosts or that hosts do not obey: with 40 hosts
// and an organisation at 8 times its usual rate, the others must be served. Without a leader
// they are not.
func TestHotOrganisationDoesNotCostTheOthers(t *testing.T) {
	for _, leads := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			l := start(t, leads)
			usual := l.run(time.Minute, 0, 1)
			must.Zero(t, usual["others"].gated+usual[hot].gated)
			got := l.run(30*time.Second, settle, times)
			others := part(got["others"].served, got["others"].all)
			t.Logf("leader %v: others %.3f, hot %.3f", leads, others, part(got[hot].served, got[hot].all))
			if !leads {
				must.LessEq(t, 0.9, others)
				return
			}
			must.GreaterEq(t, 0.99, others)
			must.GreaterEq(t, 0.2, part(got[hot].served, got[hot].all))
		})
	}
}

// Guards against hosts that go on refusing after the leader is lost, and against a new leader
// that has to learn the usual rates while the load is not usual.
func TestHostsDecideAloneWhileThereIsNoLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := start(t, true)
		l.run(time.Minute, 0, 1)
		must.Positive(t, l.run(20*time.Second, settle, times)[hot].gated)
		l.log.leads.Store(false)
		without := l.run(10*time.Second, admission.Validity+time.Second, times)
		must.Zero(t, without[hot].gated+without["others"].gated)
		l.log.leads.Store(true)
		got := l.run(20*time.Second, settle, times)
		must.GreaterEq(t, 0.99, part(got["others"].served, got["others"].all))
	})
}
