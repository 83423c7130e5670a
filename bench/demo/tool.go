package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/cluster"
)

// tool runs snipebeam, the operators' command-line tool, against the cluster.
type tool struct {
	path    string
	cluster *cluster.Cluster
}

// exitStale is the tool's exit code for a result that lacks some hosts.
const exitStale = 4

func newTool(programs string, c *cluster.Cluster) *tool {
	return &tool{path: filepath.Join(programs, "snipebeam"), cluster: c}
}

func (t *tool) command(ctx context.Context, args ...string) *exec.Cmd {
	args = append(args, "--control", strings.Join(t.cluster.ControlAddresses(), ","), "--key-file", t.cluster.OperatorsKey())
	return exec.CommandContext(ctx, t.path, args...)
}

// run runs a command and returns its output.
func (t *tool) run(ctx context.Context, args ...string) (string, error) {
	out, err := t.command(ctx, args...).CombinedOutput()
	if err != nil {
		return string(out), errors.Errorf("snipebeam %s: %s", args[0], strings.TrimSpace(string(out)))
	}
	return string(out), nil
}

// runVisible runs a command with its output on standard output. Unreachable hosts
// are no failure, as the demo stops one.
func (t *tool) runVisible(ctx context.Context, args ...string) error {
	cmd := t.command(ctx, args...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stdout
	return ignoreStale(cmd.Run(), args[0])
}

// readJSON runs a command with JSON output and decodes the result.
func (t *tool) readJSON(ctx context.Context, into any, args ...string) error {
	var out bytes.Buffer
	cmd := t.command(ctx, append(args, "--output", "json")...)
	cmd.Stdout = &out
	if err := ignoreStale(cmd.Run(), args[0]); err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(out.Bytes(), into), "read the tool's answer")
}

// ignoreStale drops the error of a command that exits with exitStale.
func ignoreStale(err error, name string) error {
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == exitStale {
		return nil
	}
	return errors.Wrapf(err, "snipebeam %s", name)
}
