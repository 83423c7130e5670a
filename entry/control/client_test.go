package control_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/world/wire"
)

type grantingClaims struct{ wire.Claims }

func (grantingClaims) Claim(context.Context, *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return &wire.ClaimResponse{State: wire.ClaimState_CLAIM_GRANTED}, nil
}

func TestUnresponsiveControlHostLeavesTimeForTheOthers(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = unresponsive.Close() })
	responsive := httptest.NewServer(wire.NewClaimsServer(grantingClaims{}))
	t.Cleanup(responsive.Close)
	client := control.NewClient(addresses(unresponsive.Addr().String(), responsive.Listener.Addr().String()), &http.Client{})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	response, err := client.Claim(ctx, &wire.ClaimRequest{})
	must.NoError(t, err)
	must.Eq(t, wire.ClaimState_CLAIM_GRANTED, response.GetState())
}
