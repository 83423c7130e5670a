package crowd

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Limits are what the machine of a process has.
type Limits struct {
	Bytes       int64 // of memory
	Descriptors int
}

// Process is a program under test.
type Process struct {
	cmd         *exec.Cmd
	done        chan struct{}
	descriptors atomic.Int64 // the most seen since Reset
}

const (
	samplePause = 5 * time.Millisecond
	killLimit   = 5 * time.Second
)

// withDescriptors runs a program with a limit on its descriptors.
const withDescriptors = `ulimit -n "$0" && exec "$@"`

// Start runs a program that is told what its machine has: its descriptors by their
// limit, its memory by GOMEMLIMIT, which any Go program reads.
func Start(limits Limits, logPath string, env []string, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("/bin/sh", append([]string{"-c", withDescriptors, strconv.Itoa(limits.Descriptors), program}, args...)...)
	cmd.Env = append(append(os.Environ(), env...), fmt.Sprintf("GOMEMLIMIT=%d", limits.Bytes))
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", program)
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	go p.sample()
	return p, nil
}

// Alive reports whether the process has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	select {
	case <-p.done:
	case <-time.After(killLimit):
	}
}

func (p *Process) path(name string) string {
	return fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name)
}

// sample records the number of open descriptors, of which the kernel keeps no maximum.
func (p *Process) sample() {
	for p.Alive() {
		if all, err := os.ReadDir(p.path("fd")); err == nil {
			p.descriptors.Store(max(p.descriptors.Load(), int64(len(all))))
		}
		time.Sleep(samplePause)
	}
}

// Reset forgets the maxima so far.
func (p *Process) Reset() error {
	const resetPeak = "5"
	p.descriptors.Store(0)
	return errors.Wrap(os.WriteFile(p.path("clear_refs"), []byte(resetPeak), 0o600), "reset peak memory")
}

// PeakDescriptors returns the most open descriptors seen since Reset.
func (p *Process) PeakDescriptors() int { return int(p.descriptors.Load()) }

// PeakBytes returns the most resident memory since Reset.
func (p *Process) PeakBytes() (int64, error) {
	file, err := os.Open(p.path("status"))
	if err != nil {
		return 0, errors.Wrap(err, "open status")
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, found := strings.CutPrefix(lines.Text(), "VmHWM:"); found {
			kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			return kib << 10, errors.Wrap(err, "parse VmHWM")
		}
	}
	return 0, errors.New("status has no VmHWM")
}
