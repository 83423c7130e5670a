package control_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/world/wire"
)

// claimHosts are control hosts by address. A call to any other address hangs until
// its context ends.
type claimHosts struct {
	mu      sync.Mutex
	answers map[string]bool
}

func (h *claimHosts) set(addresses ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = map[string]bool{}
	for _, address := range addresses {
		h.answers[address] = true
	}
}

// RoundTrip makes claimHosts a transport.
func (h *claimHosts) RoundTrip(r *http.Request) (*http.Response, error) {
	h.mu.Lock()
	answers := h.answers[r.URL.Host]
	h.mu.Unlock()
	if !answers {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	recorder := httptest.NewRecorder()
	wire.NewClaimsServer(settlingClaims{}).ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

type settlingClaims struct{ wire.Claims }

func (settlingClaims) Release(context.Context, *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	return &wire.ReleaseResponse{Released: true}, nil
}

// settled releases a claim and returns the number of claims left after the time that
// a planned stop waits.
func settled(t *testing.T, client *control.Client) int {
	settler := control.NewSettler(client)
	settler.Release(&wire.ClaimRequest{})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	return settler.Wait(ctx)
}

func addresses(all ...string) func() []string { return func() []string { return all } }

// The control hosts of the settings at the start may all be replaced.
func TestClaimIsSettledAfterControlHostsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := &claimHosts{}
		current := []string{"a:1", "b:1"}
		hosts.set("a:1", "b:1")
		client := control.NewClient(func() []string { return current }, &http.Client{Transport: hosts})
		must.Zero(t, settled(t, client))
		hosts.set("e:1")
		current = []string{"c:1", "d:1", "e:1"}
		must.Zero(t, settled(t, client))
	})
}

func TestClaimIsSettledThoughTheFirstControlHostsHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := &claimHosts{}
		hosts.set("c:1")
		client := control.NewClient(addresses("a:1", "b:1", "c:1"), &http.Client{Transport: hosts})
		must.Zero(t, settled(t, client))
	})
}
