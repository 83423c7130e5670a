package caller_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/quota"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	// runTime is how long an instance runs a request.
	runTime = 1900 * time.Millisecond
	// changeDelay is the time from the arrival of a request to a change of the rules.
	changeDelay = 100 * time.Millisecond
)

// changingHost is an entry host whose rules change while its only slot of the
// service shop is occupied.
type changingHost struct {
	network *network
	entry   *entryHost
	table   *rules.Table
	runs    map[string]*counter // by service
	key     string              // that requests carry, empty for none
}

func newChangingHost(t *testing.T, opts ...option) *changingHost {
	h := &changingHost{network: newNetwork(), table: rules.NewTable(), runs: map[string]*counter{}}
	views, all := &route.Views{}, map[string]*route.View{}
	for _, service := range []string{"shop", "trial"} {
		runs := &counter{}
		h.runs[service] = runs
		h.network.serve(t, service+":1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			runs.count("")
			time.Sleep(runTime)
			_, _ = io.WriteString(w, service)
		}))
		member := route.NewMember(instance.New(instance.ID(service), service, service+":1", instance.WithSlots(1)), &route.Load{})
		all[service] = route.NewView(service, []route.Member{member})
	}
	views.Store(all)
	opts = append(opts, h.network.pool(t), func(cfg *caller.Config) {
		cfg.Table, cfg.Router = h.table, route.NewRouter(views, route.NewAdaptive(route.WithHeadroom(0)), route.WithTerms(termsOf(h.table)))
	})
	h.entry = newEntry(t, views, newClaims(), opts...)
	h.network.serve(t, "e:1", h.entry.handler)
	h.advance(t, 88, "route shop at a.example /x/: deadline 8s, single # Marie: why\n")
	h.table.Confirm(88, time.Now())
	return h
}

func (h *changingHost) advance(t *testing.T, number uint64, text string) {
	_, err := h.table.Advance(&wire.Version{Number: number}, text)
	must.NoError(t, err)
}

type heldReply struct {
	status int
	header http.Header
	body   string
}

// holdDuring sends one request that occupies the slot, and one that waits for it
// while the version in force changes to text. It returns the second one's response.
func (h *changingHost) holdDuring(t *testing.T, text string) heldReply {
	go func() { _, _ = h.post(t, "/x/1") }()
	synctest.Wait()
	replies := make(chan heldReply, 1)
	go func() {
		got, err := h.post(t, "/x/2")
		must.NoError(t, err)
		replies <- got
	}()
	time.Sleep(changeDelay)
	h.advance(t, 94, text)
	return <-replies
}

func (h *changingHost) post(t *testing.T, path string) (heldReply, error) {
	req := newRequest(t, http.MethodPost, "e:1", path, "5")
	req.Host = "a.example"
	if h.key != "" {
		req.Header.Set(caller.KeyHeader, h.key)
	}
	response, err := h.network.client(t).Do(req)
	if err != nil {
		return heldReply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return heldReply{response.StatusCode, response.Header, string(data)}, err
}

// Guards against a request that waits for an instance and is then run by a service
// to which only a version before the one in force sends it.
func TestHeldRequestIsSentByTheRulesInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newChangingHost(t)
		got := h.holdDuring(t, "route trial at a.example /x/: deadline 8s, single # Marie: moved\n")
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, "trial", got.body)
		must.Eq(t, 1, h.runs["shop"].of(""))
		must.Eq(t, 1, h.runs["trial"].of(""))
		for _, service := range []string{"shop", "trial"} {
			must.Zero(t, h.heldBy(service))
		}
	})
}

func (h *changingHost) heldBy(service string) int {
	n := 0
	for _, held := range h.entry.backlog.Held(time.Now()) {
		if held.Service == service {
			n++
		}
	}
	return n
}

func TestHeldRequestKeepsItsServiceIfTheRulesStillAllowIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newChangingHost(t)
		got := h.holdDuring(t, "route trial=99,shop=1 at a.example /x/: deadline 8s, single # Marie: split\n")
		must.Eq(t, "shop", got.body)
	})
}

// The host knew every version when the request arrived, so that the caller may
// rely on the route.
func TestHeldRequestIsRunThoughItsRouteIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newChangingHost(t)
		got := h.holdDuring(t, "route trial at a.example /y/: deadline 8s, single # Marie: dropped\n")
		must.Eq(t, "shop", got.body)
	})
}

// Guards against a request that is run with a route that was dropped long before
// it arrived: the host had not been in touch with the control hosts.
func TestHeldRequestOfAnOutdatedHostIsNotRunByADroppedRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newChangingHost(t)
		time.Sleep(3 * time.Second)
		got := h.holdDuring(t, "route trial at a.example /y/: deadline 8s, single # Marie: dropped\n")
		must.Eq(t, http.StatusNotFound, got.status)
		must.Eq(t, string(outcome.NoRule), got.header.Get(outcome.ReasonHeader))
		must.Eq(t, string(outcome.NotRun), got.header.Get(outcome.Header))
		must.Eq(t, 1, h.runs["shop"].of(""))
	})
}

// Guards against a request that skips the claim which the rules in force require.
func TestHeldRequestThatNowNeedsAKeyIsNotRunWithoutAClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newChangingHost(t)
		got := h.holdDuring(t, "route trial at a.example /x/: deadline 8s, once Idempotency-Key # Marie: at most once\n")
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.Eq(t, string(outcome.NotReady), got.header.Get(outcome.ReasonHeader))
		must.NotEq(t, "", got.header.Get("Retry-After"))
		must.Zero(t, h.runs["trial"].of(""))
	})
}

// Guards against a request that is charged to the organisation which held its key when it
// arrived, and is sent as one of another that holds the key by then.
func TestHeldRequestIsChargedToTheOrganisationThatHoldsItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := contract.NewOrganisation("nord", contract.WithOrganisationRate(1))
		start := time.Now()
		ledger := quota.NewLedger("entry-1", func() int64 { return int64(time.Since(start)) }, func(string) *contract.Organisation { return limited })
		charged := &chargedOrganisations{Reserve: quota.New(ledger, (&purse{tokens: 10}).call)}
		go charged.Run(t.Context())
		h := newChangingHost(t, func(cfg *caller.Config) { cfg.Quota = charged })
		h.key = "secret"
		h.advance(t, 89, "route shop at a.example /x/: deadline 8s, single # Marie: why\n"+limitedLine("nord", h.key))
		got := h.holdDuring(t, "route trial at a.example /x/: deadline 8s, single # Marie: moved\n"+limitedLine("sud", h.key))
		must.Eq(t, "trial", got.body)
		must.Eq(t, []string{"nord", "nord", "sud"}, charged.names)
	})
}

// chargedOrganisations records who is charged, always before an instance is chosen.
type chargedOrganisations struct {
	*quota.Reserve
	names []string
}

func (*chargedOrganisations) Ready(*contract.Organisation) bool { return false }

func (c *chargedOrganisations) Acquire(ctx context.Context, o *contract.Organisation, left time.Duration) (*quota.Token, *quota.Refusal) {
	c.names = append(c.names, o.Name())
	return c.Reserve.Acquire(ctx, o, left)
}
