package host_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/host"
	"github.com/snipebeam/snipebeam/control/operator"
	"github.com/snipebeam/snipebeam/control/settings"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
	"go.uber.org/fx"
)

// testTimeout only ends a test that hangs; no result depends on its value.
const testTimeout = 20 * time.Second

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, listener.Close()) }()
	return listener.Addr().String()
}

// controlHost is one control host of a group with an additional listener, on which
// it reads whole bodies.
type controlHost struct {
	name    string
	address string
	bodies  string
	arrived chan struct{} // receives when the handler has read the start of a body
	app     *fx.App
}

func startGroup(t *testing.T, names ...string) []*controlHost {
	var all []*controlHost
	var members []string
	for _, name := range names {
		h := &controlHost{name: name, address: freeAddress(t), bodies: freeAddress(t), arrived: make(chan struct{}, 1)}
		all = append(all, h)
		members = append(members, name+"="+h.address)
	}
	for _, h := range all {
		cfg := settings.Default()
		cfg.Host.Name, cfg.Listen.Peers, cfg.Quorum.Hosts = h.name, h.address, members
		cfg.Data.Folder = filepath.Join(t.TempDir(), "data")
		h.app = host.New(cfg, hclog.NewNullLogger(), host.WithListeners(func(host.Services) []host.Listener {
			return []host.Listener{{Name: "bodies", Address: h.bodies, Handler: http.HandlerFunc(h.readWhole)}}
		}))
		must.NoError(t, h.app.Start(t.Context()))
		t.Cleanup(func() { _ = h.stop() })
	}
	return all
}

func (h *controlHost) readWhole(w http.ResponseWriter, r *http.Request) {
	_, _ = r.Body.Read(make([]byte, 1))
	h.arrived <- struct{}{}
	if _, err := io.ReadAll(r.Body); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *controlHost) rules() wire.Rules {
	return wire.NewRulesProtobufClient("http://"+h.address, &http.Client{Timeout: testTimeout})
}

func (h *controlHost) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return h.app.Stop(ctx)
}

// leader returns the host that the others regard as their leader.
func leader(t *testing.T, hosts []*controlHost) (name string) {
	eventually(t, "a leader", func() bool {
		response, err := hosts[0].rules().Status(t.Context(), &wire.StatusRequest{})
		name = response.GetLeader()
		return err == nil && response.GetQuorum() && name != ""
	})
	return name
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		must.True(t, time.Now().Before(deadline), must.Sprint(what))
		time.Sleep(10 * time.Millisecond)
	}
}

func TestPlannedStopEndsALongPoll(t *testing.T) {
	h := startGroup(t, "control-1")[0]
	outcome := make(chan error, 1)
	go func() {
		_, err := h.rules().Watch(context.Background(), &wire.WatchRequest{
			Report: &wire.HostReport{Name: "entry-1"}, KnownVersion: 1, WaitMs: time.Minute.Milliseconds(),
		})
		outcome <- err
	}()
	eventually(t, "the poll", func() bool {
		response, err := h.rules().Status(t.Context(), &wire.StatusRequest{})
		return err == nil && len(response.GetHosts()) > 0
	})
	must.NoError(t, h.stop())
	var refusal twirp.Error
	must.True(t, errors.As(<-outcome, &refusal))
	must.Eq(t, twirp.Unavailable, refusal.Code())
}

// A request that a client does not finish must not keep a stopping leader from
// handing over.
func TestStoppingLeaderHandsOverWhileARequestIsHeld(t *testing.T) {
	hosts := startGroup(t, "control-1", "control-2", "control-3")
	first := leader(t, hosts)
	var old *controlHost
	var others []*controlHost
	for _, h := range hosts {
		if h.name == first {
			old = h
			continue
		}
		others = append(others, h)
	}
	body, rest := io.Pipe()
	status := make(chan int, 1)
	go func() {
		response, err := http.Post("http://"+old.bodies, "text/plain", body)
		if err != nil {
			status <- 0
			return
		}
		status <- response.StatusCode
		_ = response.Body.Close()
	}()
	_, err := io.WriteString(rest, "first")
	must.NoError(t, err)
	<-old.arrived
	stopDone := make(chan error, 1)
	go func() { stopDone <- old.stop() }()
	eventually(t, "another leader", func() bool { return leader(t, others) != first })
	must.Eq(t, 0, len(stopDone))
	_, err = io.WriteString(rest, "last")
	must.NoError(t, err)
	must.NoError(t, rest.Close())
	must.Eq(t, http.StatusOK, <-status)
	must.NoError(t, <-stopDone)
}

// A call that comes during a planned stop is refused at once as not taken.
func TestCallDuringAPlannedStopIsRefused(t *testing.T) {
	h := startGroup(t, "control-1")[0]
	leader(t, []*controlHost{h})
	body, rest := io.Pipe()
	go func() {
		if response, err := http.Post("http://"+h.bodies, "text/plain", body); err == nil {
			_ = response.Body.Close()
		}
	}()
	_, err := io.WriteString(rest, "first")
	must.NoError(t, err)
	<-h.arrived
	stopDone := make(chan error, 1)
	go func() { stopDone <- h.stop() }()
	eventually(t, "the start of the stop", func() bool {
		conn, err := net.Dial("tcp", h.bodies)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	_, err = h.rules().Submit(t.Context(), &wire.SubmitRequest{SubmissionId: "one", Text: "route a # Marie: why\n"})
	var refusal twirp.Error
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, operator.TakenNo, refusal.Meta(operator.MetaTaken), must.Sprint(strings.TrimSpace(refusal.Msg())))
	must.NoError(t, rest.Close())
	must.NoError(t, <-stopDone)
}
