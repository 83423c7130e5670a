package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/quota"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/rule"
	"github.com/snipebeam/snipebeam/world/wire"
)

func limitedLine(name, key string) string {
	return `organisation ` + name + `: keys "` + rule.KeyDigest(key) + `", rate 100/s, burst 10 # Marie: studios` + "\n"
}

// purse grants a number of requests in all, and then says that the limit is reached.
type purse struct {
	mu         sync.Mutex
	tokens     int
	retryAfter time.Duration
	charged    atomic.Int32 // calls of Acquire
}

func (p *purse) call(_ context.Context, next func() *wire.OrganisationGrantRequest) (*wire.OrganisationGrantResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	response := &wire.OrganisationGrantResponse{Leader: true, Term: 1, ValidNs: int64(time.Hour), WaitingValidNs: int64(time.Hour), PauseNs: int64(time.Hour)}
	for _, need := range next().GetNeeds() {
		n := min(int(need.GetWaiting()), p.tokens)
		p.tokens -= n
		response.Grants = append(response.Grants, &wire.OrganisationGrant{Organisation: need.GetOrganisation(), Requests: uint32(n), RetryAfterNs: int64(p.retryAfter), Renewed: true})
	}
	return response, nil
}

// countedReserve counts the requests that are charged.
type countedReserve struct {
	*quota.Reserve
	purse *purse
}

func (r countedReserve) Acquire(ctx context.Context, o *contract.Organisation, left time.Duration) (*quota.Token, *quota.Refusal) {
	r.purse.charged.Add(1)
	return r.Reserve.Acquire(ctx, o, left)
}

// withPurse charges requests to a purse.
func withPurse(t *testing.T, p *purse, limited *contract.Organisation) option {
	t.Helper()
	start := time.Now()
	ledger := quota.NewLedger("entry-1", func() int64 { return int64(time.Since(start)) }, func(string) *contract.Organisation { return limited })
	reserve := quota.New(ledger, p.call)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go reserve.Run(ctx)
	return func(cfg *caller.Config) { cfg.Quota = countedReserve{Reserve: reserve, purse: p} }
}

// Guards against a request beyond the limit that reaches an instance, against a refusal
// without the time that the leader names, and against charges to an organisation without a
// limit.
func TestRequestBeyondTheLimitOfItsOrganisationIsRefused(t *testing.T) {
	var handled atomic.Int32
	instance := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }))
	t.Cleanup(instance.Close)
	p := &purse{tokens: 3, retryAfter: 7 * time.Second}
	table, rules := withRules(t, organisationRules+limitedLine("nord", "secret")+organisationLine("sud", "other"))
	var retryAfter atomic.Int64
	dialect := caller.Dialect{
		Service: caller.ServiceHeader, Key: caller.KeyHeader, Refused: func(int, http.Header) bool { return false },
		Load: func(http.Header) (caller.LoadReport, bool) { return caller.LoadReport{}, false },
		WriteProblem: func(w http.ResponseWriter, response caller.ErrorResponse) {
			retryAfter.Store(int64(response.RetryAfter))
			w.WriteHeader(response.Problem.Status())
			_, _ = io.WriteString(w, string(response.Problem.Kind())+" "+string(response.Problem.Reason()))
		},
	}
	entry := serveEntry(t, newEntry(t, viewsOf(instance.Listener.Addr().String()), nil, rules,
		withPurse(t, p, table.Current().Set().Organisation("nord")), func(cfg *caller.Config) { cfg.Dialect = &dialect }))
	for range 3 {
		status, _ := get(t, entry, "/a", caller.KeyHeader, "secret")
		must.Eq(t, http.StatusOK, status)
	}
	status, body := get(t, entry, "/a", caller.KeyHeader, "secret")
	must.Eq(t, http.StatusTooManyRequests, status)
	must.Eq(t, string(outcome.NotRun)+" "+string(outcome.OrganisationRate), body)
	must.Eq(t, 7*time.Second, time.Duration(retryAfter.Load()))
	must.Eq(t, 3, handled.Load())
	for range 3 {
		status, _ = get(t, entry, "/a", caller.KeyHeader, "other")
		must.Eq(t, http.StatusOK, status)
		status, _ = get(t, entry, "/open/a")
		must.Eq(t, http.StatusOK, status)
	}
	must.Eq(t, 4, p.charged.Load())
}

// Guards against a charge for each attempt, and against one for a request of which no byte
// was sent.
func TestRequestIsChargedOnceAndOnlyIfItIsSent(t *testing.T) {
	p := &purse{tokens: 2, retryAfter: time.Second}
	table, rules := withRules(t, organisationRules+limitedLine("nord", "secret"))
	limit := withPurse(t, p, table.Current().Set().Organisation("nord"))
	var attempts atomic.Int32
	closing := rawInstance(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		attempts.Add(1)
	})
	second := rawInstance(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		attempts.Add(1)
	})
	entry := serveEntry(t, newEntry(t, viewsOf(closing, second), nil, rules, limit))
	status, _ := get(t, entry, "/a", caller.KeyHeader, "secret")
	must.Eq(t, http.StatusBadGateway, status)
	must.Eq(t, 2, attempts.Load())
	must.Eq(t, 1, p.charged.Load())

	gone, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, gone.Close())
	unsent := serveEntry(t, newEntry(t, viewsOf(gone.Addr().String()), nil, rules, limit))
	for range 5 { // with the one token that is left
		status, _ = get(t, unsent, "/a", caller.KeyHeader, "secret")
		must.NotEq(t, http.StatusTooManyRequests, status)
	}
	status, _ = get(t, entry, "/a", caller.KeyHeader, "secret")
	must.Eq(t, http.StatusBadGateway, status)
	status, _ = get(t, entry, "/a", caller.KeyHeader, "secret")
	must.Eq(t, http.StatusTooManyRequests, status)
}

// Guards against a request that runs although nobody grants it, and against one that keeps a
// slot of an instance from others while it waits for a leader.
func TestRequestIsRefusedIfNoControlHostGrantsIt(t *testing.T) {
	var handled atomic.Int32
	instance := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }))
	t.Cleanup(instance.Close)
	_, rules := withRules(t, organisationRules+limitedLine("nord", "secret"))
	ledger := quota.NewLedger("entry-1", func() int64 { return time.Now().UnixNano() }, func(string) *contract.Organisation { return nil })
	reserve := quota.New(ledger, func(context.Context, func() *wire.OrganisationGrantRequest) (*wire.OrganisationGrantResponse, error) {
		return nil, errors.New("no control host leads")
	})
	ledger.Fail()
	var chosen chosenInstances
	entry := serveEntry(t, newEntry(t, viewsOf(instance.Listener.Addr().String()), nil, rules, func(cfg *caller.Config) {
		chosen.Acquirer, cfg.Quota = cfg.Router, reserve
		cfg.Router = &chosen
	}))
	status, body := get(t, entry, "/a", caller.KeyHeader, "secret")
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.StrContains(t, body, string(outcome.NotReady))
	must.Zero(t, handled.Load())
	must.Zero(t, chosen.n.Load())
}

// Guards against a refusal with 429, which promises that the request has not run, of one that an
// earlier attempt may have run: this host relays it, one host loses it, and the next refuses it.
func TestRequestThatMayHaveRunIsNotRefusedAsBeyondTheLimit(t *testing.T) {
	table, rules := withRules(t, organisationRules+limitedLine("nord", "secret"))
	var runs atomic.Int32
	instance := httpInstance(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})
	limited := table.Current().Set().Organisation("nord")
	host := func(tokens int) string {
		return serveEntry(t, newEntry(t, viewsOf(instance), nil, rules, withPurse(t, &purse{tokens: tokens, retryAfter: time.Second}, limited)))
	}
	relay := &fakeRelay{hosts: []string{host(1), host(0)}}
	relay.isolated.Store(true)
	entry := serveEntry(t, newEntry(t, viewsOf(instance), nil, rules, func(cfg *caller.Config) { cfg.Relay = relay }))
	got := call(t, http.MethodGet, entry, "/a", "", caller.ServiceHeader, "shop", caller.KeyHeader, "secret")
	must.Positive(t, runs.Load())
	must.Eq(t, outcome.Unknown, got.outcome())
	must.Eq(t, http.StatusBadGateway, got.status)
}

// Guards against a request of an organisation below its limit that is refused as the link to the
// only instance was opened for longer than its token was valid.
func TestRequestWhoseTokenExpiredWhileItsLinkWasOpenedTakesAnother(t *testing.T) {
	instance := httpInstance(t, echo)
	table, rules := withRules(t, organisationRules+limitedLine("nord", "secret"))
	var late atomic.Int64
	start := time.Now()
	ledger := quota.NewLedger("entry-1", func() int64 { return int64(time.Since(start)) + late.Load() }, table.Current().Set().Organisation)
	p := &purse{tokens: 2, retryAfter: time.Second}
	reserve := quota.New(ledger, p.call)
	go reserve.Run(t.Context())
	var d net.Dialer
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		late.CompareAndSwap(0, int64(2*time.Hour))
		return d.DialContext(ctx, "tcp", address)
	}
	entry := serveEntry(t, newEntry(t, viewsOf(instance), nil, rules, func(cfg *caller.Config) {
		cfg.Quota, cfg.Pool = reserve, upstream.NewPool(upstream.WithDial(dial))
	}))
	status, _ := get(t, entry, "/a", caller.KeyHeader, "secret")
	must.Eq(t, http.StatusOK, status)
	status, _ = get(t, entry, "/a", caller.KeyHeader, "secret")
	must.Eq(t, http.StatusTooManyRequests, status) // one token has expired and one was spent
}

// Guards against requests beyond the limit that keep a slot of an instance from others while they
// wait for a token, or wait for a slot only to be refused.
func TestRequestOfAnOrganisationAtItsLimitHoldsNoInstance(t *testing.T) {
	instance := httpInstance(t, echo)
	table, rules := withRules(t, organisationRules+limitedLine("nord", "secret"))
	var chosen chosenInstances
	entry := serveEntry(t, newEntry(t, viewsOf(instance), nil, rules,
		withPurse(t, &purse{retryAfter: time.Hour}, table.Current().Set().Organisation("nord")),
		func(cfg *caller.Config) { chosen.Acquirer, cfg.Router = cfg.Router, &chosen }))
	for range 5 {
		status, _ := get(t, entry, "/a", caller.KeyHeader, "secret")
		must.Eq(t, http.StatusTooManyRequests, status)
	}
	must.Eq(t, 1, chosen.n.Load()) // the first one finds out
}

// Guards against a charge for each copy of a hedged request, and against a relayed request that
// is charged at both hosts, or at the one that does not send it to an instance.
func TestHedgedAndRelayedRequestsAreChargedOnce(t *testing.T) {
	var handled atomic.Int32
	both := make(chan struct{})
	instance := func() string {
		return httpInstance(t, func(http.ResponseWriter, *http.Request) {
			if handled.Add(1) == 2 {
				close(both)
			}
			<-both
		})
	}
	table, rules := withRules(t, `service shop: retryBudget 100% # Marie: tests
route shop GET: deadline 5s, retries 1, attempts 2, hedge # Marie: studios
`+limitedLine("nord", "secret"))
	limited := table.Current().Set().Organisation("nord")
	sender, first := &purse{tokens: 1, retryAfter: time.Second}, &purse{tokens: 1, retryAfter: time.Second}
	host := serveEntry(t, newEntry(t, viewsOf(instance(), instance()), nil, rules, withPurse(t, sender, limited),
		func(cfg *caller.Config) { cfg.Router = hedgeAtOnce{cfg.Router} }))
	relay := &fakeRelay{hosts: []string{host}}
	relay.isolated.Store(true)
	entry := serveEntry(t, newEntry(t, viewsOf(deadAddress(t)), nil, rules, withPurse(t, first, limited), func(cfg *caller.Config) { cfg.Relay = relay }))
	status, _ := get(t, entry, "/a", caller.KeyHeader, "secret")
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, 2, handled.Load())
	must.One(t, sender.charged.Load())
	must.Zero(t, first.charged.Load())
	status, body := get(t, entry, "/a", caller.KeyHeader, "secret")
	must.Eq(t, http.StatusTooManyRequests, status)
	must.StrContains(t, body, string(outcome.OrganisationRate))
}

// Guards against tokens that are lost with requests that were charged and end before they are
// sent: no instance takes them, or the handler panics.
func TestTokenOfARequestThatIsNotSentIsReturned(t *testing.T) {
	instance := httpInstance(t, echo)
	table, rules := withRules(t, organisationRules+limitedLine("nord", "secret"))
	limited := table.Current().Set().Organisation("nord")
	p := &purse{tokens: 1, retryAfter: time.Second}
	router := &failingRouter{}
	entry := serveEntry(t, newEntry(t, viewsOf(instance), nil, rules, withPurse(t, p, limited), func(cfg *caller.Config) {
		cfg.Quota, router.Acquirer, cfg.Router = chargedFirst{cfg.Quota}, cfg.Router, router
	}))
	for n, status := range []int{http.StatusServiceUnavailable, http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusOK, http.StatusTooManyRequests} {
		router.panics, router.fails = n == 1, n == 0 || n == 2
		got, _ := get(t, entry, "/a", caller.KeyHeader, "secret")
		must.Eq(t, status, got, must.Sprintf("request %d", n))
	}
}

// chargedFirst charges each request before an instance is chosen.
type chargedFirst struct{ caller.Quota }

func (chargedFirst) Ready(*contract.Organisation) bool { return false }

// failingRouter has no instance, or panics.
type failingRouter struct {
	caller.Acquirer
	fails, panics bool
}

func (r *failingRouter) Acquire(ctx context.Context, q route.Query) (*route.Ticket, error) {
	switch {
	case r.panics:
		panic("broken router")
	case r.fails:
		return nil, outcome.New(outcome.NotRun, outcome.NoInstance, "no instance")
	}
	return r.Acquirer.Acquire(ctx, q)
}

// chosenInstances counts the instances that are reserved for attempts.
type chosenInstances struct {
	caller.Acquirer
	n atomic.Int32
}

func (c *chosenInstances) Acquire(ctx context.Context, q route.Query) (*route.Ticket, error) {
	c.n.Add(1)
	return c.Acquirer.Acquire(ctx, q)
}
