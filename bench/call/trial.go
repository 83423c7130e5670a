// Package call runs generated sequences of requests and faults against the
// handlers of several entry hosts, instances and the control group's state
// machine, connected in memory, and judges what callers were told against what
// instances ran.
//
// Usage:
//
//	trial := call.NewTrial(call.Times{...})
//	verdict := trial.Run(script)
package call

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/upstream"
	known "github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	keyHeader = "Idempotency-Key"
	idHeader  = "Request-Id"
)

// Numbers of a trial.
const (
	Hosts     = 2
	Instances = 2
)

// Times are the durations of a trial.
type Times struct {
	Deadline time.Duration // of every rule
	Settle   time.Duration // after the last step, for what is still under way
}

// StepKind is what a step of a script does.
type StepKind int

// Kinds of steps.
const (
	Send StepKind = iota
	SetFault
	SetLoss
	Crash
	Pause
)

// Step is one step of a script.
type Step struct {
	Kind   StepKind
	Host   int // entry host that is meant
	Target int // instance that is meant
	Key    int // 0: a request that may be repeated
	Body   int
	Fault  Fault
	Loss   Loss
}

// Result counts what a trial showed.
type Result struct {
	Sent          int
	ExecutedTwice int
	NotRunButRan  int
	WrongAnswers  int
	Outcomes      map[string]int
	Violations    []string
}

// record is one request with what its caller was told.
type record struct {
	step     Step
	id       string
	outcome  string
	status   int
	body     string
	complete bool
}

// Trial is one set of hosts and instances.
type Trial struct {
	times         Times
	instanceCount int
	net           *network
	group         *group
	instances     []*instance
	hosts         []*host
	client        *http.Client
	transport     *http.Transport

	mu      sync.Mutex
	records []*record
	pending sync.WaitGroup
}

type host struct {
	listener *listener
	server   *http.Server
	claims   *claimsClient
	pool     *upstream.Pool
	settler  *control.Settler
}

// NewTrial starts the hosts and instances.
func NewTrial(times Times) *Trial {
	t := &Trial{times: times, net: newNetwork(), group: newGroup(), instanceCount: Instances}
	t.transport = &http.Transport{DialContext: t.dial}
	t.client = &http.Client{Transport: t.transport}
	for n := range Instances {
		i := newInstance(2 * times.Deadline)
		t.instances = append(t.instances, i)
		t.serveInstance(n)
	}
	for n := range Hosts {
		t.hosts = append(t.hosts, t.startHost(n, poison.NewTracker()))
	}
	return t
}

func (t *Trial) dial(ctx context.Context, _, address string) (net.Conn, error) {
	return t.net.dial(ctx, address)
}

func (t *Trial) serveInstance(n int) {
	i := t.instances[n]
	l := t.net.listen(fmt.Sprintf("i%d:1", n))
	i.setListener(l)
	go func() { _ = (&http.Server{Handler: i, ReadHeaderTimeout: time.Minute}).Serve(l) }()
}

func (t *Trial) startHost(n int, suspects *poison.Tracker) *host {
	views := &route.Views{}
	var members []route.Member
	for k := range t.instanceCount {
		address := fmt.Sprintf("i%d:1", k)
		members = append(members, route.NewMember(known.New(known.ID(address), "shop", address), &route.Load{}))
	}
	views.Store(map[string]*route.View{"shop": route.NewView("shop", members)})
	table := rules.NewTable()
	deadline := t.times.Deadline.String()
	_, err := table.Advance(&wire.Version{Number: 1}, "route shop POST /pay/**: deadline "+deadline+", once Idempotency-Key # L: once\nroute shop: deadline "+deadline+", retries 2 # M: repeated\n")
	if err != nil {
		panic("call: the rules of a trial are wrong: " + err.Error())
	}
	table.Confirm(1, time.Now())
	h := &host{claims: &claimsClient{group: t.group}, pool: upstream.NewPool(upstream.WithDial(t.net.dial)), listener: t.net.listen(fmt.Sprintf("e%d:1", n))}
	h.settler = control.NewSettler(h.claims)
	h.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: caller.New(caller.Config{
		Host: fmt.Sprint("entry-", n), Table: table, Router: route.NewRouter(views, route.NewLeastLoaded()), Pool: h.pool,
		Claims: h.claims, Settler: h.settler, Suspects: suspects, Backlog: backlog.NewTracker(), Decisions: decision.NewLog(hclog.NewNullLogger()), Stopping: &atomic.Bool{},
	})}
	go func() { _ = h.server.Serve(h.listener) }()
	return h
}

// crashHost ends a host without a word, and starts another in its place.
func (t *Trial) crashHost(n int) {
	h := t.hosts[n]
	h.claims.disconnect()
	h.listener.kill()
	_ = h.server.Close()
	h.pool.Close()
	t.hosts[n] = t.startHost(n, poison.NewTracker())
}

// Run runs a script and returns what it showed.
func (t *Trial) Run(script []Step) Result {
	for _, step := range script {
		t.runStep(step)
	}
	t.clearFaults()
	t.pending.Wait()
	time.Sleep(t.times.Settle)
	verdict := t.check()
	t.close()
	return verdict
}

func (t *Trial) runStep(step Step) {
	switch step.Kind {
	case Send:
		t.send(step)
	case SetFault:
		t.setFault(step)
	case SetLoss:
		t.hosts[step.Host].claims.setLoss(step.Loss)
	case Crash:
		t.crashHost(step.Host)
	case Pause:
		time.Sleep(t.times.Deadline / 4)
	}
}

func (t *Trial) setFault(step Step) {
	i := t.instances[step.Target]
	was := i.currentFault()
	i.setFault(step.Fault)
	switch {
	case step.Fault == Down && was != Down:
		i.listener.kill()
	case step.Fault != Down && was == Down:
		t.serveInstance(step.Target)
	}
}

func (t *Trial) clearFaults() {
	for n := range t.instances {
		t.setFault(Step{Target: n})
	}
	for _, h := range t.hosts {
		h.claims.setLoss(NoLoss)
	}
}

func (t *Trial) send(step Step) {
	t.mu.Lock()
	one := &record{step: step, id: fmt.Sprint("r", len(t.records))}
	t.records = append(t.records, one)
	t.mu.Unlock()
	t.pending.Go(func() { t.exchange(one) })
}

func pathOf(step Step) string {
	if step.Key == 0 {
		return "/list"
	}
	return "/pay/1"
}

func keyOf(step Step) string {
	if step.Key == 0 {
		return ""
	}
	return fmt.Sprint("k", step.Key)
}

func (t *Trial) exchange(one *record) {
	step := one.step
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://e%d:1%s", step.Host, pathOf(step)), strings.NewReader(fmt.Sprint("b", step.Body)))
	if err != nil {
		panic("call: a request of a trial is wrong: " + err.Error())
	}
	req.GetBody = nil // the client must not send it again by itself
	req.Header.Set(caller.ServiceHeader, "shop")
	req.Header.Set(caller.CallerHeader, "studio")
	req.Header.Set(idHeader, one.id)
	if key := keyOf(step); key != "" {
		req.Header.Set(keyHeader, key)
	}
	response, err := t.client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	one.outcome, one.status, one.body, one.complete = response.Header.Get(outcome.Header), response.StatusCode, string(data), err == nil
}

func (t *Trial) check() Result {
	v := Result{Sent: len(t.records), Outcomes: map[string]int{}}
	ran := map[string]int{}
	for _, one := range t.records {
		ofKey, ofID := 0, 0
		for _, i := range t.instances {
			key, id := i.executions(keyOf(one.step), one.id)
			ofKey, ofID = ofKey+key, ofID+id
		}
		if one.step.Key > 0 {
			ran[keyOf(one.step)] = ofKey
		}
		v.check(one, ofID)
	}
	for key, times := range ran {
		if times > 1 {
			v.ExecutedTwice++
			v.Violations = append(v.Violations, fmt.Sprint(key, " ran ", times, " times"))
		}
	}
	return v
}

func (v *Result) check(one *record, ran int) {
	told := one.outcome
	if told == "" {
		told = "none"
	}
	v.Outcomes[told]++
	switch {
	case told == string(outcome.NotRun) && ran > 0:
		v.NotRunButRan++
		v.Violations = append(v.Violations, one.id+" was told not-run and ran")
	case told == string(outcome.Answer) && one.complete && one.body != expectedBody(pathOf(one.step), keyOf(one.step), one.id, fmt.Sprint("b", one.step.Body)):
		v.WrongAnswers++
		v.Violations = append(v.Violations, fmt.Sprintf("%s got %d %q", one.id, one.status, one.body))
	}
}

func (t *Trial) close() {
	t.transport.CloseIdleConnections()
	for _, h := range t.hosts {
		_ = h.server.Close()
		h.listener.kill()
		h.pool.Close()
	}
	for _, i := range t.instances {
		i.listener.kill()
	}
}

// Add adds what another trial showed.
func (v *Result) Add(other Result) {
	v.Sent += other.Sent
	v.ExecutedTwice += other.ExecutedTwice
	v.NotRunButRan += other.NotRunButRan
	v.WrongAnswers += other.WrongAnswers
	v.Violations = append(v.Violations, other.Violations...)
	for told, n := range other.Outcomes {
		v.Outcomes[told] += n
	}
}
