package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/standin/caller"
)

// wantVersion is the version in force at the end: the initial rules and one
// change.
const wantVersion = 2

// verify returns an error that lists every outcome that the rules do not allow.
func (d *demo) verify(ctx context.Context, summaries []caller.Summary) error {
	failures := append([]string(nil), d.events.failed...)
	for n, s := range summaries {
		if bad := s.Sent - s.Outcomes["answer"] + s.WrongResponses; bad > 0 || s.Sent == 0 {
			failures = append(failures, workloads[n].service+": "+s.String())
		}
	}
	for _, check := range []func(context.Context) error{d.checkVersions, d.checkExecutions} {
		if err := check(ctx); err != nil {
			failures = append(failures, err.Error())
		}
	}
	if len(failures) > 0 {
		return errors.New("not what the rules allow:\n  " + strings.Join(failures, "\n  "))
	}
	return nil
}

// checkVersions checks that all entry hosts but the stopped one are ready and
// have the last version in force.
func (d *demo) checkVersions(ctx context.Context) error {
	var hosts []struct {
		Name    string `json:"name"`
		State   string `json:"state"`
		Version uint64 `json:"version"`
	}
	if err := d.tool.readJSON(ctx, &hosts, "hosts"); err != nil {
		return err
	}
	ready := 0
	for _, h := range hosts {
		if h.State != "ready" {
			continue
		}
		ready++
		if h.Version != wantVersion {
			return errors.Errorf("%s runs version %d, not %d", h.Name, h.Version, wantVersion)
		}
	}
	if ready != entryHosts-1 {
		return errors.Errorf("%d entry hosts are ready, not %d", ready, entryHosts-1)
	}
	return nil
}

// checkExecutions checks that no idempotency key was executed more than once
// across the instances.
func (d *demo) checkExecutions(ctx context.Context) error {
	total := map[string]int{}
	for _, one := range d.atMostOnce {
		counts, err := one.executions(ctx)
		if err != nil {
			return err
		}
		for key, n := range counts {
			total[key] += n
		}
	}
	for key, n := range total {
		if n > 1 {
			return errors.Errorf("the key %s was run %d times", key, n)
		}
	}
	return nil
}

// executions returns the number of executions of each idempotency key on the
// instance.
func (i instance) executions(ctx context.Context) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.address+"/standin/runs", nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s for its executions", i.id)
	}
	defer func() { _ = response.Body.Close() }()
	counts := map[string]int{}
	return counts, errors.Wrap(json.NewDecoder(response.Body).Decode(&counts), "read executions")
}
