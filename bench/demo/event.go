package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/pause"

	"github.com/pkg/errors"
)

const (
	stopTimeout = 30 * time.Second
	// drainLimit is how long a draining instance may still receive requests.
	drainLimit = 3 * time.Second
)

// eventLog records the events of the demo and their results.
type eventLog struct {
	mu     sync.Mutex
	lines  []string
	failed []string
}

func (l *eventLog) add(what string, took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed = append(l.failed, fmt.Sprintf("%s: %v", what, err))
		l.lines = append(l.lines, fmt.Sprintf("%s: FAILED: %v", what, err))
		return
	}
	l.lines = append(l.lines, fmt.Sprintf("%s: done in %s", what, took.Round(time.Millisecond)))
}

func (l *eventLog) print() {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Println(strings.Join(l.lines, "\n"))
}

// runEvents changes a rule, drains an instance and stops an entry host under
// load.
func (d *demo) runEvents(ctx context.Context) {
	step := d.cli.Duration / 8
	pause.For(ctx, step)
	d.runEvent("rule change, in force on every entry host", func() error { return d.changeRule(ctx) })
	pause.For(ctx, step)
	d.runEvent("drain of "+d.drained.id+", no new work after "+drainLimit.String(), func() error { return d.drainInstance(ctx) })
	pause.For(ctx, step/2)
	host := d.cluster.Entries[0]
	d.runEvent("graceful stop of "+host.Name()+", with requests in flight", func() error { return host.Terminate(stopTimeout) })
}

func (d *demo) runEvent(what string, do func() error) {
	started := time.Now()
	err := do()
	d.events.add(what, time.Since(started), err)
}

// changeRule submits the rules with one deadline changed and waits until they
// are in force.
func (d *demo) changeRule(ctx context.Context) error {
	text, err := os.ReadFile(d.cli.Rules)
	if err != nil {
		return errors.Wrap(err, "read rules")
	}
	next := strings.Replace(string(text), "deadline 300ms, retries 2", "deadline 400ms, retries 2", 1)
	if next == string(text) {
		return errors.New("the rules hold no deadline to change")
	}
	changed := filepath.Join(d.dir, "changed.rules")
	if err := os.WriteFile(changed, []byte(next), 0o600); err != nil {
		return errors.Wrap(err, "write rules")
	}
	_, err = d.tool.run(ctx, "submit", changed, "--author", "demo", "--reason", "a longer deadline", "--state-dir", d.dir, "--wait")
	return err
}

// drainInstance sets an instance to draining, and checks that it receives no new
// requests after drainLimit, which lets the announcement reach the entry hosts.
func (d *demo) drainInstance(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+d.drained.address+"/standin/faults", strings.NewReader(`{"draining":true}`))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "drain")
	}
	_ = response.Body.Close()
	pause.For(ctx, drainLimit)
	before, err := d.drained.executions(ctx)
	if err != nil {
		return err
	}
	pause.For(ctx, d.cli.Duration/8)
	after, err := d.drained.executions(ctx)
	if err == nil && len(after) > len(before) {
		return errors.Errorf("%d requests came later", len(after)-len(before))
	}
	return err
}
