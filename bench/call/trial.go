// Package call runs generated sequences of requests and faults against the
// handlers of several entry hosts, instances and the control group's state
// machine, connected in memory, and checks the outcomes that callers received
// against what instances executed.
//
// Usage:
//
//	trial := call.NewTrial(call.Times{...})
//	result := trial.Run(script)
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
	worldinstance "github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	keyHeader = "Idempotency-Key"
	idHeader  = "Request-Id"
)

// Numbers of entry hosts and instances in a trial.
const (
	Hosts     = 2
	Instances = 2
)

// Times are the durations that a trial uses.
type Times struct {
	Deadline time.Duration // of each rule
	Settle   time.Duration // wait after the last request, for background work to finish
}

// StepKind is the kind of a step.
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
	Host   int // index of the entry host
	Target int // index of the instance
	Key    int // number of the idempotency key; 0: none, and the request may be retried
	Body   int
	Fault  Fault
	Loss   Loss
}

// Result counts the requests of a trial and the violations of what callers were
// guaranteed.
type Result struct {
	Sent          int
	ExecutedTwice int
	NotRunButRan  int
	WrongAnswers  int
	Outcomes      map[string]int
	Violations    []string
}

// record is a request with the response that its caller received.
type record struct {
	step     Step
	id       string
	outcome  string
	status   int
	body     string
	complete bool
}

// Trial is a set of entry hosts and instances.
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
		members = append(members, route.NewMember(worldinstance.New(worldinstance.ID(address), "shop", address), &route.Load{}))
	}
	views.Store(map[string]*route.View{"shop": route.NewView("shop", members)})
	table := rules.NewTable()
	deadline := t.times.Deadline.String()
	_, err := table.Advance(&wire.Version{Number: 1}, "route shop POST /pay/**: deadline "+deadline+", once Idempotency-Key # L: once\nroute shop: deadline "+deadline+", retries 2 # M: repeated\n")
	if err != nil {
		panic("call: invalid rules: " + err.Error())
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

// crashHost stops a host without a graceful shutdown, and starts another in its
// place.
func (t *Trial) crashHost(n int) {
	h := t.hosts[n]
	h.claims.disconnect()
	h.listener.kill()
	_ = h.server.Close()
	h.pool.Close()
	t.hosts[n] = t.startHost(n, poison.NewTracker())
}

// Run runs a script and returns the result.
func (t *Trial) Run(script []Step) Result {
	for _, step := range script {
		t.runStep(step)
	}
	t.clearFaults()
	t.pending.Wait()
	time.Sleep(t.times.Settle)
	result := t.check()
	t.close()
	return result
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
	previous := i.currentFault()
	i.setFault(step.Fault)
	switch {
	case step.Fault == Down && previous != Down:
		i.listener.kill()
	case step.Fault != Down && previous == Down:
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
	rec := &record{step: step, id: fmt.Sprint("r", len(t.records))}
	t.records = append(t.records, rec)
	t.mu.Unlock()
	t.pending.Go(func() { t.exchange(rec) })
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

func (t *Trial) exchange(rec *record) {
	step := rec.step
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://e%d:1%s", step.Host, pathOf(step)), strings.NewReader(fmt.Sprint("b", step.Body)))
	if err != nil {
		panic("call: invalid request: " + err.Error())
	}
	req.GetBody = nil // so that the client does not retry on its own
	req.Header.Set(caller.ServiceHeader, "shop")
	req.Header.Set(caller.CallerHeader, "studio")
	req.Header.Set(idHeader, rec.id)
	if key := keyOf(step); key != "" {
		req.Header.Set(keyHeader, key)
	}
	response, err := t.client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	rec.outcome, rec.status, rec.body, rec.complete = response.Header.Get(outcome.Header), response.StatusCode, string(data), err == nil
}

func (t *Trial) check() Result {
	r := Result{Sent: len(t.records), Outcomes: map[string]int{}}
	ran := map[string]int{}
	for _, rec := range t.records {
		ofKey, ofID := 0, 0
		for _, i := range t.instances {
			key, id := i.executions(keyOf(rec.step), rec.id)
			ofKey, ofID = ofKey+key, ofID+id
		}
		if rec.step.Key > 0 {
			ran[keyOf(rec.step)] = ofKey
		}
		r.check(rec, ofID)
	}
	for key, count := range ran {
		if count > 1 {
			r.ExecutedTwice++
			r.Violations = append(r.Violations, fmt.Sprint(key, " ran ", count, " times"))
		}
	}
	return r
}

func (r *Result) check(rec *record, ran int) {
	reported := rec.outcome
	if reported == "" {
		reported = "none"
	}
	r.Outcomes[reported]++
	switch {
	case reported == string(outcome.NotRun) && ran > 0:
		r.NotRunButRan++
		r.Violations = append(r.Violations, rec.id+" was reported as not-run, but ran")
	case reported == string(outcome.Answer) && rec.complete && rec.body != expectedBody(pathOf(rec.step), keyOf(rec.step), rec.id, fmt.Sprint("b", rec.step.Body)):
		r.WrongAnswers++
		r.Violations = append(r.Violations, fmt.Sprintf("%s got %d %q", rec.id, rec.status, rec.body))
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

// Add adds the result of another trial.
func (r *Result) Add(other Result) {
	r.Sent += other.Sent
	r.ExecutedTwice += other.ExecutedTwice
	r.NotRunButRan += other.NotRunButRan
	r.WrongAnswers += other.WrongAnswers
	r.Violations = append(r.Violations, other.Violations...)
	for reported, n := range other.Outcomes {
		r.Outcomes[reported] += n
	}
}
