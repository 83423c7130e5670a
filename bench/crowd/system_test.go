package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/bench/cluster"
	"github.com/snipebeam/snipebeam/bench/crowd"
	"github.com/snipebeam/snipebeam/platform/sample"
	"github.com/snipebeam/snipebeam/world/wire"
)

// The machines of the target, with half of their memory and a tenth of their descriptors,
// so that a crowd of 400 shows what a large one does to them.
var (
	entryLimits   = crowd.Limits{Bytes: 136 << 20 / 2, Descriptors: 2_870 / 10}
	controlLimits = crowd.Limits{Bytes: 280 << 20 / 2, Descriptors: 4_096 / 10}
)

const (
	startLimit = time.Minute // beyond it a process hangs
	poll       = 20 * time.Millisecond
)

// system is one control host, one entry host and an instance. Addresses are by the names
// of listeners.
type system struct {
	programs, folder string
	addresses        map[string]string
	platform         bool
	entry, control   *crowd.Process
}

// build builds the programs of the repository.
func build(t *testing.T, programs ...string) string {
	folder := t.TempDir()
	for _, program := range programs {
		cmd := exec.Command("go", "build", "-o", filepath.Join(folder, strings.ReplaceAll(program, "/", "-")), "./"+program)
		cmd.Dir = "../.."
		out, err := cmd.CombinedOutput()
		must.NoError(t, err, must.Sprint(string(out)))
	}
	return folder
}

func newSystem(t *testing.T, platform bool) *system {
	s := &system{folder: t.TempDir(), addresses: map[string]string{}, platform: platform}
	for _, name := range []string{"callers", "ready", "platform", "dns", "peers", "metrics", "control", "directory", "control peers", "control metrics", "instance"} {
		address, err := cluster.FreeAddress()
		must.NoError(t, err)
		s.addresses[name] = address
	}
	if platform {
		s.programs = build(t, "platform/entry", "platform/control")
	} else {
		s.programs = build(t, "entry", "control", "standin")
	}
	s.write(t, "control.toml", "[host]\nname = \"control-1\"\n[listen]\npeers = %q\nmetrics = %q\n[data]\nfolder = %q\n[quorum]\nhosts = [\"control-1=%s\"]\n",
		s.addresses["control peers"], s.addresses["control metrics"], filepath.Join(s.folder, "data"), s.addresses["control peers"])
	membership := "gossip"
	if platform {
		membership = "control"
	}
	s.write(t, "entry.toml", "[host]\nname = \"entry-1\"\nleaveSeconds = 0.1\n[listen]\ncallers = %q\nplatform = %q\npeers = %q\nmetrics = %q\ndns = %q\n[control]\nhosts = [%q]\n[peers]\nmembership = %q\n[limits]\nheaderBytes = 16384\nbodyBytes = 67108864\nheaderTimeoutSeconds = 3\nidleTimeoutSeconds = 15\nbufferBytes = 16384\n",
		s.addresses["callers"], s.addresses["platform"], s.addresses["peers"], s.addresses["metrics"], s.addresses["dns"], s.addresses["control peers"], membership)
	t.Cleanup(s.kill)
	s.startControl(t)
	s.startEntry(t)
	if platform {
		s.configurePlatform(t)
	} else {
		s.configure(t)
	}
	s.awaitServed(t)
	return s
}

func (s *system) write(t *testing.T, name, format string, args ...any) {
	must.NoError(t, os.WriteFile(filepath.Join(s.folder, name), fmt.Appendf(nil, format, args...), 0o600))
}

func (s *system) kill() {
	for _, p := range []*crowd.Process{s.entry, s.control} {
		if p != nil {
			p.Kill()
		}
	}
}

func (s *system) program(name string) string {
	if s.platform {
		return filepath.Join(s.programs, "platform-"+name)
	}
	return filepath.Join(s.programs, name)
}

func (s *system) startControl(t *testing.T) {
	env := []string{"SNIPEBEAM_CONTROL_ADDRESS=" + s.addresses["control"], "SNIPEBEAM_DIRECTORY_ADDRESS=" + s.addresses["directory"]}
	p, err := crowd.Start(controlLimits, filepath.Join(s.folder, "control.log"), env, s.program("control"), "--config", filepath.Join(s.folder, "control.toml"))
	must.NoError(t, err)
	s.control = p
}

func (s *system) startEntry(t *testing.T) {
	env := []string{"SNIPEBEAM_READY=" + s.addresses["ready"]}
	p, err := crowd.Start(entryLimits, filepath.Join(s.folder, "entry.log"), env, s.program("entry"), "--config", filepath.Join(s.folder, "entry.toml"))
	must.NoError(t, err)
	s.entry = p
}

// restart starts a process again, so that what one crowd left does not count against the
// next one.
func (s *system) restart(t *testing.T, control bool) {
	if control {
		s.control.Kill()
		s.startControl(t)
	} else {
		s.entry.Kill()
		s.startEntry(t)
	}
	s.awaitServed(t)
}

// eventually waits until a condition holds. Its limit tells a hang from slowness.
func eventually(t *testing.T, what string, holds func() bool) {
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(poll) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", startLimit, what)
}

const serviceRules = "service a: owner O # w: y\nroute a: deadline 5s, maxBody 64MB # w: y"

// configure submits the rules and starts a stand-in instance.
func (s *system) configure(t *testing.T) {
	client := wire.NewRulesProtobufClient("http://"+s.addresses["control peers"], &http.Client{Timeout: time.Second})
	eventually(t, "the rules are accepted", func() bool {
		response, err := client.Submit(t.Context(), &wire.SubmitRequest{SubmissionId: "s", Text: serviceRules, Author: "test"})
		return err == nil && response.GetAccepted()
	})
	cmd := exec.Command(s.program("standin"), "upstream", "--id", "a-1", "--service", "a", "--listen", s.addresses["instance"], "--entries", s.addresses["platform"])
	must.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

// configurePlatform puts a configuration and announces an instance of this process.
func (s *system) configurePlatform(t *testing.T) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	post := func(path string, body []byte) bool {
		response, err := client.Post("http://"+s.addresses["control"]+path, "application/json", bytes.NewReader(body))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	eventually(t, "the configuration is accepted", func() bool { return post(sample.ConfigPath, []byte(sample.Config(1, 0))) })
	instance := httptest.NewServer(sample.Instance())
	t.Cleanup(instance.Close)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	born := time.Now().UnixMilli()
	go func() {
		for n := 1; ctx.Err() == nil; n++ {
			post(sample.HeartbeatPath, sample.Heartbeat(strings.TrimPrefix(instance.URL, "http://"), born, n))
			time.Sleep(time.Second / 2)
		}
	}()
}

// awaitServed waits until one ordinary request of a caller is answered by the instance.
func (s *system) awaitServed(t *testing.T) {
	last := ""
	defer func() {
		if !strings.HasPrefix(last, "200") {
			t.Log("last answer to a caller: " + last)
		}
	}()
	eventually(t, "a caller is served", func() bool {
		status, text, err := get(t, s.addresses["callers"], "/x")
		last = fmt.Sprint(status, " ", text, err)
		return err == nil && status == http.StatusOK
	})
}

func get(t *testing.T, address, path string) (status int, text string, err error) {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
	must.NoError(t, err)
	request.Host = "a"
	request.Header.Set("Request-Id", "1") // as each caller on the platform does
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}
