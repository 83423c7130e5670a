package local_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/bench/local"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

const rules = "service a: owner O # w: y\nroute a: deadline 5s, maxBody 1KB # w: y"

// submit submits the rules to a control host until they are accepted.
func submit(t *testing.T, control string, client *http.Client) { submitText(t, control, client, rules) }

func submitText(t *testing.T, control string, client *http.Client, text string) {
	service := wire.NewRulesProtobufClient("http://"+control, client)
	local.Eventually(t, "the rules are accepted", func() bool {
		response, err := service.Submit(t.Context(), &wire.SubmitRequest{SubmissionId: "s", Text: text, Author: "test"})
		return err == nil && response.GetAccepted()
	})
}

func keyFile(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "key")
	must.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// authenticated reports whether the key of a call was accepted: the call
// succeeded, or failed with another code than unauthenticated.
func authenticated(err error) bool {
	var t twirp.Error
	if err == nil {
		return true
	}
	return asTwirp(err, &t) && t.Code() != twirp.Unauthenticated
}

func asTwirp(err error, t *twirp.Error) bool {
	found, ok := err.(twirp.Error)
	*t = found
	return ok
}

// Each endpoint accepts both keys of its own key file, so that a key can be
// rotated, and rejects all other keys.
func TestEachEndpointAcceptsOnlyItsKeys(t *testing.T) {
	files := local.Settings{"keys.peers": keyFile(t, "p2 p1"), "keys.operators": keyFile(t, "o2 o1")}
	control := local.StartControl(t, files)
	files["keys.upstreams"] = keyFile(t, "u2 u1")
	entry := local.StartEntry(t, control, files)
	client := func(k string) *http.Client { return key.New(k).Client(http.DefaultClient) }
	submit(t, control, client("o1"))

	endpoints := map[string]struct {
		keys string // the first letter of the accepted keys
		call func(ctx context.Context, c *http.Client) error
	}{
		"submit": {"o", func(ctx context.Context, c *http.Client) error {
			_, err := wire.NewRulesProtobufClient("http://"+control, c).Submit(ctx, &wire.SubmitRequest{SubmissionId: "x", BaseVersion: 99, Text: rules})
			return err
		}},
		"status": {"o", func(ctx context.Context, c *http.Client) error {
			_, err := wire.NewRulesProtobufClient("http://"+control, c).Status(ctx, &wire.StatusRequest{})
			return err
		}},
		"resolve": {"o", func(ctx context.Context, c *http.Client) error {
			_, err := wire.NewClaimsProtobufClient("http://"+control, c).Resolve(ctx, &wire.ResolveClaimRequest{})
			return err
		}},
		"group": {"o", func(ctx context.Context, c *http.Client) error {
			_, err := wire.NewGroupProtobufClient("http://"+control, c).Transfer(ctx, &wire.TransferRequest{To: "nobody"})
			return err
		}},
		"drain": {"o", func(ctx context.Context, c *http.Client) error {
			_, err := wire.NewEntryProtobufClient("http://"+entry.Peers, c).Drain(ctx, &wire.DrainRequest{})
			return err
		}},
		"watch": {"p", func(ctx context.Context, c *http.Client) error {
			_, err := wire.NewRulesProtobufClient("http://"+control, c).Watch(ctx, &wire.WatchRequest{})
			return err
		}},
		"claim": {"p", func(ctx context.Context, c *http.Client) error {
			_, err := wire.NewClaimsProtobufClient("http://"+control, c).Release(ctx, &wire.ReleaseRequest{Key: &wire.ClaimKey{Service: "a"}})
			return err
		}},
		"quorum": {"p", func(ctx context.Context, c *http.Client) error {
			_, err := wire.NewQuorumProtobufClient("http://"+control, c).Hello(ctx, &wire.HelloRequest{})
			return err
		}},
		"announce": {"u", func(ctx context.Context, c *http.Client) error {
			return announce(ctx, c, entry.Platform, "127.0.0.1:9")
		}},
	}
	for name, endpoint := range endpoints {
		for _, k := range []string{"p1", "p2", "o1", "o2", "u1", "u2", "other", ""} {
			want := strings.HasPrefix(k, endpoint.keys) && k != "other"
			must.Eq(t, want, authenticated(endpoint.call(t.Context(), client(k))), must.Sprintf("%s with key %q", name, k))
		}
	}
}

// announce announces an instance. It returns an unauthenticated Twirp error if the
// key is rejected, as calls of the other endpoints do.
func announce(ctx context.Context, c *http.Client, platform, address string) error {
	return announceSlots(ctx, c, platform, address, 0)
}

// announceSlots is like announce for an instance that states its slots.
func announceSlots(ctx context.Context, c *http.Client, platform, address string, slots int) error {
	return announceInstance(ctx, c, platform, "a-1", address, slots)
}

func announceInstance(ctx context.Context, c *http.Client, platform, id, address string, slots int) error {
	body := fmt.Sprintf(`{"service":"a","address":%q,"slots":%d,"incarnation":1}`, address, slots)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+platform+"/v1/instances/"+id, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.Do(req)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusUnauthorized {
		return twirp.NewError(twirp.Unauthenticated, "refused")
	}
	return nil
}

// Invalid requests are rejected with their own status, and the host continues to
// serve. Hop-by-hop headers are not forwarded to the instance.
func TestBadRequestsOfCallers(t *testing.T) {
	control := local.StartControl(t, nil)
	submit(t, control, http.DefaultClient)
	entry := local.StartEntry(t, control, local.Settings{"limits.headerBytes": "8192"})
	local.Ready(t, entry)
	received := make(chan *http.Request, 1)
	instance := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { received <- r }))
	defer instance.Close()
	must.NoError(t, announce(t.Context(), http.DefaultClient, entry.Platform, instance.Listener.Addr().String()))

	cases := []struct {
		name, request string
		status        int
	}{
		{"unknown service", "GET / HTTP/1.1\r\nHost: b\r\n\r\n", http.StatusNotFound},
		{"dots", "GET /../x HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusNotFound},
		{"large headers", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 20<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"large body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("y", 2000), http.StatusRequestEntityTooLarge},
		{"upgrade", "GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", http.StatusNotImplemented},
		{"no HTTP", "hello\r\n\r\n", http.StatusBadRequest},
		{"length and chunks", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		{"bare LF", "GET / HTTP/1.1\r\nHost: a\n\r\n", http.StatusBadRequest},
	}
	for _, c := range cases {
		must.Eq(t, c.status, raw(t, entry.Callers, c.request), must.Sprint(c.name))
	}
	must.Eq(t, http.StatusOK, raw(t, entry.Callers, "GET / HTTP/1.1\r\nHost: a\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTe: trailers\r\nX-Kept: 1\r\n\r\n"))
	forwarded := (<-received).Header
	must.Eq(t, "1", forwarded.Get("X-Kept"))
	for _, hop := range []string{"X-Hop", "Keep-Alive", "Te", "Connection"} {
		must.Eq(t, "", forwarded.Get(hop), must.Sprint(hop))
	}
}

// raw sends bytes and returns the status of the first response.
func raw(t *testing.T, address, request string) int {
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte(request))
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	_ = response.Body.Close()
	return response.StatusCode
}
