package control_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

// grantor is a control host that grants, names the leader, or fails.
type grantor struct {
	wire.Quota
	leader atomic.Bool
	failed atomic.Bool
	names  atomic.Pointer[string] // the leader that it names
	calls  atomic.Int32
}

func (g *grantor) Grant(context.Context, *wire.GrantRequest) (*wire.GrantResponse, error) {
	g.calls.Add(1)
	if g.failed.Load() {
		return nil, twirp.NewError(twirp.Unavailable, "no quorum")
	}
	response := &wire.GrantResponse{Leader: g.leader.Load()}
	if name := g.names.Load(); name != nil {
		response.LeaderAddress = *name
	}
	return response, nil
}

func (g *grantor) GrantRetries(ctx context.Context, _ *wire.RetryGrantRequest) (*wire.RetryGrantResponse, error) {
	response, err := g.Grant(ctx, nil)
	return &wire.RetryGrantResponse{Leader: response.GetLeader(), LeaderAddress: response.GetLeaderAddress()}, err
}

func serveGrantor(t *testing.T, g *grantor) string {
	t.Helper()
	server := httptest.NewServer(wire.NewQuotaServer(g))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestGrantsAreRequestedFromTheLeader(t *testing.T) {
	var follower, leader grantor
	leader.leader.Store(true)
	address := serveGrantor(t, &leader)
	follower.names.Store(&address)
	followers := []string{serveGrantor(t, &follower)}
	quota := control.NewQuota(func() []string { return followers }, http.DefaultClient)
	for range 3 {
		response, err := quota.Grant(t.Context(), &wire.GrantRequest{})
		must.NoError(t, err)
		must.True(t, response.GetLeader())
	}
	must.One(t, follower.calls.Load()) // later calls go to the leader
	must.Eq(t, 3, leader.calls.Load())
}

func TestGrantsAreRequestedFromAnotherHostAfterTheLeaderFailed(t *testing.T) {
	var first, second grantor
	first.leader.Store(true)
	addresses := []string{serveGrantor(t, &first), serveGrantor(t, &second)}
	quota := control.NewQuota(func() []string { return addresses }, http.DefaultClient)
	_, err := quota.Grant(t.Context(), &wire.GrantRequest{})
	must.NoError(t, err)
	first.failed.Store(true)
	_, err = quota.Grant(t.Context(), &wire.GrantRequest{})
	must.Error(t, err)
	second.leader.Store(true)
	response, err := quota.Grant(t.Context(), &wire.GrantRequest{})
	must.NoError(t, err)
	must.True(t, response.GetLeader())
}

// Guards against control hosts that name one another as the leader for ever.
func TestRequestForGrantsEndsIfNobodyLeads(t *testing.T) {
	var a, b grantor
	addressA, addressB := serveGrantor(t, &a), serveGrantor(t, &b)
	a.names.Store(&addressB)
	b.names.Store(&addressA)
	_, err := control.NewQuota(func() []string { return []string{addressA, addressB} }, http.DefaultClient).Grant(t.Context(), &wire.GrantRequest{})
	must.Error(t, err)
	must.One(t, a.calls.Load())
	must.One(t, b.calls.Load())
}

func (g *grantor) GrantOrganisations(ctx context.Context, _ *wire.OrganisationGrantRequest) (*wire.OrganisationGrantResponse, error) {
	response, err := g.Grant(ctx, nil)
	return &wire.OrganisationGrantResponse{Leader: response.GetLeader(), LeaderAddress: response.GetLeaderAddress()}, err
}

// Guards against one statement of what a host holds that reaches two control hosts at
// different times.
func TestEachControlHostGetsANewStatementOfTheReserve(t *testing.T) {
	var follower, leader grantor
	leader.leader.Store(true)
	address := serveGrantor(t, &leader)
	follower.names.Store(&address)
	followers := []string{serveGrantor(t, &follower)}
	statements := 0
	quota := control.NewQuota(func() []string { return followers }, http.DefaultClient)
	response, err := quota.GrantOrganisations(t.Context(), func() *wire.OrganisationGrantRequest {
		statements++
		return &wire.OrganisationGrantRequest{Sequence: uint64(statements)}
	})
	must.NoError(t, err)
	must.True(t, response.GetLeader())
	must.Eq(t, 2, statements)
}
