package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/standin/caller"
)

// wantVersion is in force at the end: the first rules and one change.
const wantVersion = 2

// judge returns an error that names everything the rules do not allow.
func (d *demo) judge(ctx context.Context, summaries []caller.Summary) error {
	wrong := append([]string(nil), d.events.failed...)
	for n, s := range summaries {
		if bad := s.Sent - s.Outcomes["answer"] + s.WrongResponses; bad > 0 || s.Sent == 0 {
			wrong = append(wrong, workloads[n].service+": "+s.String())
		}
	}
	for _, check := range []func(context.Context) error{d.checkVersions, d.checkExecutions} {
		if err := check(ctx); err != nil {
			wrong = append(wrong, err.Error())
		}
	}
	if len(wrong) > 0 {
		return errors.New("not what the rules allow:\n  " + strings.Join(wrong, "\n  "))
	}
	return nil
}

// checkVersions looks for hosts that are behind the version in force.
func (d *demo) checkVersions(ctx context.Context) error {
	var hosts []struct {
		Name    string `json:"name"`
		State   string `json:"state"`
		Version uint64 `json:"version"`
	}
	if err := d.tool.read(ctx, &hosts, "hosts"); err != nil {
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

// checkExecutions looks for an idempotency key that was run more than once.
func (d *demo) checkExecutions(ctx context.Context) error {
	total := map[string]int{}
	for _, one := range d.keyed {
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

// executions returns how often the instance ran each idempotency key.
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
