package command_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/snipebeam/command"
	"github.com/snipebeam/snipebeam/world/wire"
)

const goodRules = "service a: owner O # w: y\nroute a GET: deadline 1s # w: y\n"

func rulesFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "x.rules")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestCheckPrintsSixMistakesWithTheirPositions(t *testing.T) {
	path := rulesFile(t, `service catalogue: owner "Comptoir", probe 1% # Marie: lookups
route catalogue GET /lookup/**: deadline 300 # Marie: no unit
route catalogue GET /lookup/titanium: deadline 1s # Marie: shadowed
route catalogue GET,HEAD: retries 1
route catalogue POST /order: retries 2 # Marie: not idempotent
route catalogue DELETE /order: deadlin 2s # Marie: misspelt
service checkout: owner "Caisse" # Luc: no routes
`)
	out, err := run(t, "check", path)
	must.Eq(t, command.ExitFindings, command.ExitCode(err))
	var positions []string
	for line := range strings.Lines(out) {
		position, _, _ := strings.Cut(strings.TrimPrefix(line, path), " ")
		positions = append(positions, position)
	}
	must.Eq(t, []string{":2:42:", ":3:7:", ":4:36:", ":5:7:", ":6:32:", ":7:9:"}, positions)
	out, err = run(t, "check", path, "-o", "json")
	must.Eq(t, command.ExitFindings, command.ExitCode(err))
	var findings []map[string]any
	must.NoError(t, json.Unmarshal([]byte(out), &findings))
	must.Len(t, 6, findings)
}

func TestCheckRejectsOversizedAndBinaryFiles(t *testing.T) {
	for _, text := range []string{strings.Repeat("#\n", 5<<20), "route a\x00 # w: y", "\xff\xfe"} {
		_, err := run(t, "check", rulesFile(t, text))
		must.Eq(t, command.ExitFindings, command.ExitCode(err))
	}
}

func TestStrictTreatsWarningsAsErrors(t *testing.T) {
	path := rulesFile(t, "route a GET # w: nobody owns its backlog\n")
	_, err := run(t, "check", path)
	must.NoError(t, err)
	_, err = run(t, "check", "--strict", path)
	must.Eq(t, command.ExitFindings, command.ExitCode(err))
}

func TestFmtRewritesAndChecks(t *testing.T) {
	path := rulesFile(t, "# head\n\nservice  a:owner O   #w:y\n\n\n")
	_, err := run(t, "fmt", "--check", path)
	must.Eq(t, command.ExitDiffers, command.ExitCode(err))
	_, err = run(t, "fmt", path)
	must.NoError(t, err)
	text, err := os.ReadFile(path)
	must.NoError(t, err)
	must.Eq(t, "# head\n\nservice a: owner O # w: y\n", string(text))
	_, err = run(t, "fmt", "--check", path)
	must.NoError(t, err)
}

func TestSubmitAfterLostResponseReusesSubmission(t *testing.T) {
	control := &fakeControl{dropNext: true}
	args := []string{"submit", rulesFile(t, goodRules), "--control", control.start(t), "--state-dir", t.TempDir(), "-m", "why"}
	_, err := run(t, args...)
	must.ErrorContains(t, err, "run the same command again")
	out, err := run(t, args...)
	must.NoError(t, err)
	must.StrContains(t, out, "accepted as version 8")
	_, err = run(t, args...)
	must.NoError(t, err)
	must.Len(t, 3, control.submissions)
	must.Eq(t, control.submissions[0].GetSubmissionId(), control.submissions[1].GetSubmissionId())
	must.Eq(t, control.submissions[0].GetBaseVersion(), control.submissions[1].GetBaseVersion())
	must.NotEq(t, control.submissions[1].GetSubmissionId(), control.submissions[2].GetSubmissionId())
}

func TestRefusedSubmitShowsVersionInForce(t *testing.T) {
	winner := "service a: owner O # w: y\nroute a GET: deadline 9s # w: y\n"
	control := &fakeControl{refusal: &wire.SubmitResponse{Version: &wire.Version{Number: 8, Author: "Luc"}, WinnerText: winner, Refusal: "the base is version 7"}}
	out, err := run(t, "submit", rulesFile(t, goodRules), "--control", control.start(t), "--state-dir", t.TempDir())
	must.Eq(t, command.ExitRefused, command.ExitCode(err))
	must.ErrorContains(t, err, "--base 8")
	must.StrContains(t, out, "by Luc")
	must.StrContains(t, out, "-route a GET: deadline 9s # w: y\n+route a GET: deadline 1s # w: y")
}

func TestReadFailsOverFromHostWithoutQuorum(t *testing.T) {
	noQuorum := &fakeControl{stale: true, text: "old\n"}
	current := &fakeControl{text: "new\n"}
	out, err := run(t, "rules", "--control", refusingAddress(t)+","+noQuorum.start(t)+","+current.start(t))
	must.NoError(t, err)
	must.StrContains(t, out, "new")
	out, err = run(t, "rules", "--control", noQuorum.start(t))
	must.Eq(t, command.ExitStale, command.ExitCode(err))
	must.StrContains(t, out, "old")
	_, err = run(t, "rules", "--control", refusingAddress(t))
	must.Eq(t, command.ExitFailed, command.ExitCode(err))
	must.ErrorContains(t, err, "connection refused")
}

func TestBacklogIsLowerBoundIfHostsFail(t *testing.T) {
	host := func(name, address string) *wire.HostReport {
		return &wire.HostReport{Name: name, Role: "entry", PeersAddress: address, Version: 7}
	}
	line := func(n uint32) *fakeEntry {
		return &fakeEntry{backlog: &wire.BacklogResponse{Services: []*wire.ServiceBacklog{{Service: "a", Owner: "O", Queued: n, InFlight: 1}}}}
	}
	control := &fakeControl{hosts: []*wire.HostReport{host("e1", line(3).start(t)), host("e2", line(4).start(t))}}
	out, err := run(t, "backlog", "--control", control.start(t))
	must.NoError(t, err)
	must.StrContains(t, out, "7")
	control.hosts = append(control.hosts, host("e3", refusingAddress(t)), host("e4", refusingAddress(t)))
	out, err = run(t, "backlog", "--control", control.start(t))
	must.Eq(t, command.ExitStale, command.ExitCode(err))
	must.ErrorContains(t, err, "2 hosts unheard: [e3 e4]")
	must.StrContains(t, out, "at least 7")
	must.StrContains(t, out, "at least 2")
}
