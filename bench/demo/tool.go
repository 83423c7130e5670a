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

// tool runs the operators' tool.
type tool struct {
	path    string
	cluster *cluster.Cluster
}

// exitStale is the tool's exit code for an answer that misses some hosts.
const exitStale = 4

func newTool(programs string, c *cluster.Cluster) *tool {
	return &tool{path: filepath.Join(programs, "snipebeam"), cluster: c}
}

func (t *tool) command(ctx context.Context, args ...string) *exec.Cmd {
	args = append(args, "--control", strings.Join(t.cluster.ControlAddresses(), ","), "--key-file", t.cluster.OperatorsKey())
	return exec.CommandContext(ctx, t.path, args...)
}

// quiet runs a command and returns what it printed with its error.
func (t *tool) quiet(ctx context.Context, args ...string) (string, error) {
	out, err := t.command(ctx, args...).CombinedOutput()
	if err != nil {
		return string(out), errors.Errorf("snipebeam %s: %s", args[0], strings.TrimSpace(string(out)))
	}
	return string(out), nil
}

// shown runs a command whose output the reader of the demo sees. Hosts that
// are not heard are no failure: the demo stops one.
func (t *tool) shown(ctx context.Context, args ...string) error {
	cmd := t.command(ctx, args...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stdout
	return unlessStale(cmd.Run(), args[0])
}

// read runs a command and reads its JSON.
func (t *tool) read(ctx context.Context, into any, args ...string) error {
	var out bytes.Buffer
	cmd := t.command(ctx, append(args, "--output", "json")...)
	cmd.Stdout = &out
	if err := unlessStale(cmd.Run(), args[0]); err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(out.Bytes(), into), "read the tool's answer")
}

func unlessStale(err error, name string) error {
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == exitStale {
		return nil
	}
	return errors.Wrapf(err, "snipebeam %s", name)
}
