// Package fleet runs entry and control hosts as real processes with simulated
// instances that announce themselves, and measures the network, processor and
// memory use of the hosts.
//
// Usage:
//
//	f, err := fleet.Start(29, 3)
//	defer f.Close()
//	err = f.Announce(31)
//	before := f.Usage()
//	rate := f.Usage().Since(before)
package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/cluster"
	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	callLimit   = 2 * time.Second
	submitLimit = 20 * time.Second
	retryPause  = 20 * time.Millisecond
	ruleCount   = 200 // lines of the rules file
)

// Fleet is a running set of hosts.
type Fleet struct {
	*cluster.Cluster
	dir        string
	rules      []wire.Rules
	client     *http.Client
	version    uint64
	instances  *announcers
	keepFolder bool
}

// Start builds the programs, starts the hosts and waits until all are ready. If
// that fails, it keeps the folder with the logs.
func Start(entries, controls int) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "snipebeam-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "create folder")
	}
	f := &Fleet{dir: dir, client: &http.Client{Timeout: callLimit}}
	f.instances = newAnnouncers(f)
	if err := f.startHosts(entries, controls); err != nil {
		f.Keep()
		f.Close()
		return nil, errors.Wrapf(err, "start hosts (logs are in %s)", dir)
	}
	return f, nil
}

func (f *Fleet) startHosts(entries, controls int) error {
	for _, program := range []string{"entry", "control"} {
		build := exec.Command("go", "build", "-o", filepath.Join(f.dir, "snipebeam-"+program), "./"+program)
		if out, err := build.CombinedOutput(); err != nil {
			return errors.Errorf("build %s: %s", program, out)
		}
	}
	var err error
	if f.Cluster, err = cluster.New(f.dir, f.dir); err != nil {
		return err
	}
	if err := f.StartControl(controls); err != nil {
		return err
	}
	for _, address := range f.ControlAddresses() {
		f.rules = append(f.rules, wire.NewRulesProtobufClient("http://"+address, f.client))
	}
	if err := f.StartEntries(entries, "shawinigan", "mekinac", "maskinonge"); err != nil {
		return err
	}
	if _, err := f.Submit(); err != nil {
		return err
	}
	return f.WaitReady()
}

// Keep makes Close leave the folder with the hosts' logs in place.
func (f *Fleet) Keep() { f.keepFolder = true }

// Close stops all processes and removes the folder, unless Keep was called.
func (f *Fleet) Close() {
	f.instances.stop()
	if f.Cluster != nil {
		f.Cluster.Close()
	}
	if !f.keepFolder {
		_ = os.RemoveAll(f.dir)
	}
}

// Accepted is a submission that was accepted.
type Accepted struct {
	Version    uint64
	SentAt     time.Time
	AcceptedAt time.Time // when the response arrived
}

// Submit submits a rules file that differs from the previous one in one line. It
// retries the same submission id on the control hosts in rotation until one
// responds, so a retry cannot create a second version.
func (f *Fleet) Submit() (Accepted, error) {
	req := &wire.SubmitRequest{
		SubmissionId: uuid.NewString(), BaseVersion: f.version, Text: rulesText(f.version + 1), Author: "bench", Reason: "measure",
	}
	accepted := Accepted{SentAt: time.Now()}
	for n := 0; time.Since(accepted.SentAt) < submitLimit; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		response, err := f.rules[n%len(f.rules)].Submit(ctx, req)
		cancel()
		switch {
		case err != nil:
			time.Sleep(retryPause)
			continue
		case !response.GetAccepted():
			return accepted, errors.Errorf("submission refused: %s", response.GetRefusal())
		}
		accepted.AcceptedAt, accepted.Version = time.Now(), response.GetVersion().GetNumber()
		f.version = accepted.Version
		return accepted, nil
	}
	return accepted, errors.Errorf("no control host accepted a submission within %s", submitLimit)
}

func rulesText(version uint64) string {
	var text strings.Builder
	for n := range ruleCount {
		_, _ = fmt.Fprintf(&text, "service s%d: owner Comptoir # Marie: bench\nroute s%d GET /lookup/**: deadline 300ms # Marie: a piercer waits\n", n, n)
	}
	_, _ = fmt.Fprintf(&text, "route s0 GET /v%d: deadline 1s # Luc: changes\n", version)
	return text.String()
}

// Leader returns the current leader of the control group.
func (f *Fleet) Leader() (*cluster.Host, error) {
	for _, one := range f.rules {
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		status, err := one.Status(ctx, &wire.StatusRequest{})
		cancel()
		if err != nil {
			continue
		}
		for _, host := range f.Controls {
			if host.Name() == status.GetLeader() {
				return host, nil
			}
		}
	}
	return nil, errors.New("no control host reports a leader")
}

// forEachEntry calls a function for every entry host concurrently.
func (f *Fleet) forEachEntry(call func(n int, host *cluster.Host)) {
	var group sync.WaitGroup
	for n, host := range f.Entries {
		group.Go(func() { call(n, host) })
	}
	group.Wait()
}
