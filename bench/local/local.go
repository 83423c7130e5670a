// Package local runs control and entry hosts inside the process of a test, on
// free loopback ports.
//
// Usage:
//
//	control := local.StartControl(t, nil)
//	entry := local.StartEntry(t, control, nil)
//	response, err := http.Get("http://" + entry.Platform + "/livez")
package local

import (
	"context"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/cluster"
	controlhost "github.com/snipebeam/snipebeam/control/host"
	controlsettings "github.com/snipebeam/snipebeam/control/settings"
	entryhost "github.com/snipebeam/snipebeam/entry/host"
	entrysettings "github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/setting"
	"go.uber.org/fx"
)

// Limits of waits.
const (
	startLimit = 20 * time.Second
	poll       = 20 * time.Millisecond
)

// Settings are values that override the defaults, by dotted key.
type Settings map[string]string

func (s Settings) overrides() []setting.Override {
	var all []setting.Override
	for key, value := range s {
		all = append(all, setting.NewOverride(key, value, "test"))
	}
	return all
}

func (s Settings) with(more Settings) Settings {
	for key, value := range more {
		s[key] = value
	}
	return s
}

// Entry is the addresses of an entry host.
type Entry struct {
	Callers  string
	Platform string
	Peers    string

	app *fx.App
}

// Stop stops the host as its program does on SIGTERM, within its stop timeout.
func (e Entry) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), e.app.StopTimeout())
	defer cancel()
	return errors.Wrap(e.app.Stop(ctx), "stop")
}

// StartControl runs a control group of one host until the test ends, and returns
// its address.
func StartControl(t testing.TB, more Settings) string {
	address := free(t)
	cfg, findings := controlsettings.Load("", Settings{
		"host.name": "control-1", "listen.peers": address, "data.folder": filepath.Join(t.TempDir(), "data"),
		"quorum.hosts": "control-1=" + address,
	}.with(more).overrides()...)
	usable(t, findings)
	run(t, controlhost.New(cfg, hclog.NewNullLogger()))
	return address
}

// StartEntry runs an entry host with a control host until the test ends.
func StartEntry(t testing.TB, control string, more Settings) Entry {
	e := Entry{Callers: free(t), Platform: free(t), Peers: free(t)}
	cfg, findings := entrysettings.Load("", Settings{
		"host.name": "entry-1", "control.hosts": control, "listen.callers": e.Callers,
		"listen.platform": e.Platform, "listen.peers": e.Peers, "listen.dns": free(t),
	}.with(more).overrides()...)
	usable(t, findings)
	e.app = entryhost.New(cfg, hclog.NewNullLogger())
	run(t, e.app)
	return e
}

func usable(t testing.TB, findings finding.List) {
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
}

// run starts an application and stops it when the test ends.
func run(t testing.TB, app *fx.App) {
	if err := app.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		// The timeout is short, because a test need not wait for a graceful stop.
		ctx, cancel := context.WithTimeout(context.Background(), poll)
		defer cancel()
		_ = app.Stop(ctx)
	})
}

func free(t testing.TB) string {
	address, err := cluster.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// Eventually waits until a condition holds, and fails the test if it does not
// within startLimit.
func Eventually(t testing.TB, what string, holds func() bool) {
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(poll) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", startLimit, what)
}

// Ready waits until an entry host reports that it is ready for callers.
func Ready(t testing.TB, e Entry) {
	Eventually(t, "the entry host is ready", func() bool {
		response, err := http.Get("http://" + e.Platform + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}
