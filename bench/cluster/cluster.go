// Package cluster runs snipebeam's programs as processes on loopback, for the
// demo, for benchmarks and for tests that need real processes.
//
// Usage:
//
//	c, err := cluster.New(".bin", dir)
//	defer c.Close()
//	c.StartControl(3)
//	c.StartEntries(3, "shawinigan", "mekinac", "maskinonge")
package cluster

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Timeouts and poll interval for the state of a process.
const (
	readyLimit = 10 * time.Second
	readyPoll  = 20 * time.Millisecond
	killLimit  = 5 * time.Second
)

// Process is one running program.
type Process struct {
	name    string
	cmd     *exec.Cmd
	logPath string
	done    chan struct{}
	err     error
}

// Name returns the process's name in the cluster.
func (p *Process) Name() string { return p.name }

// LogPath returns the path of the process's log file.
func (p *Process) LogPath() string { return p.logPath }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Wait waits until the process exits, up to the limit, and returns its exit error.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return errors.Errorf("%s still running after %s", p.name, limit)
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	_ = p.Wait(killLimit)
}

// Host is an entry or control process with its settings file and addresses.
type Host struct {
	*Process
	Zone     string
	Config   string
	Peers    string
	Callers  string
	Platform string
	DNS      string
}

// Cluster is a set of processes that share a folder for settings, logs and data.
type Cluster struct {
	programs  string
	dir       string
	keys      keyFiles
	Controls  []*Host
	Entries   []*Host
	instances []*Process
}

// New returns a cluster that runs the programs of a folder and writes its files
// below dir.
func New(programs, dir string) (*Cluster, error) {
	absolute, err := filepath.Abs(programs)
	if err != nil {
		return nil, errors.Wrap(err, "resolve programs folder")
	}
	return &Cluster{programs: absolute, dir: dir}, errors.Wrap(os.MkdirAll(dir, 0o755), "create folder")
}

// Start runs a program and appends its output to a log file in the cluster's
// folder.
func (c *Cluster) Start(name, program string, args ...string) (*Process, error) {
	logPath := filepath.Join(c.dir, name+".log")
	out, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	cmd := exec.Command(filepath.Join(c.programs, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{name: name, cmd: cmd, logPath: logPath, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	return p, nil
}

// StartControl starts n control hosts.
func (c *Cluster) StartControl(n int) error {
	for i := range n {
		address, err := FreeAddress()
		if err != nil {
			return err
		}
		c.Controls = append(c.Controls, &Host{Peers: address, Config: filepath.Join(c.dir, fmt.Sprintf("control-%d.toml", i+1))})
	}
	for i, host := range c.Controls {
		if err := c.startControl(host, fmt.Sprintf("control-%d", i+1)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startControl(host *Host, name string) error {
	text := fmt.Sprintf("[host]\nname = %q\n[listen]\npeers = %q\n[data]\nfolder = %q\n[quorum]\nhosts = [%s]\n",
		name, host.Peers, filepath.Join(c.dir, name), quoted(c.initialControls())) + c.keys.controlSection()
	if err := os.WriteFile(host.Config, []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return c.Restart(host, name, "snipebeam-control")
}

// initialControls returns the initial membership of the control group, as
// name=address.
func (c *Cluster) initialControls() []string {
	var all []string
	for n, host := range c.Controls {
		all = append(all, fmt.Sprintf("control-%d=%s", n+1, host.Peers))
	}
	return all
}

// Restart starts a host's program with its existing settings file.
func (c *Cluster) Restart(host *Host, name, program string) error {
	p, err := c.Start(name, program, "--config", host.Config)
	if err != nil {
		return err
	}
	host.Process = p
	return nil
}

// ControlAddresses returns the peer addresses of the control hosts.
func (c *Cluster) ControlAddresses() []string {
	var all []string
	for _, host := range c.Controls {
		all = append(all, host.Peers)
	}
	return all
}

// PlatformAddresses returns the platform addresses of the entry hosts.
func (c *Cluster) PlatformAddresses() []string {
	var all []string
	for _, host := range c.Entries {
		all = append(all, host.Platform)
	}
	return all
}

// StartEntries starts n entry hosts, assigned to the zones in rotation.
func (c *Cluster) StartEntries(n int, zones ...string) error {
	for i := range n {
		host := &Host{Zone: zones[i%len(zones)], Config: filepath.Join(c.dir, fmt.Sprintf("entry-%d.toml", i+1))}
		for _, address := range []*string{&host.Peers, &host.Callers, &host.Platform, &host.DNS} {
			free, err := FreeAddress()
			if err != nil {
				return err
			}
			*address = free
		}
		c.Entries = append(c.Entries, host)
		if err := c.startEntry(host, fmt.Sprintf("entry-%d", i+1)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startEntry(host *Host, name string) error {
	text := fmt.Sprintf("[host]\nname = %q\nzone = %q\n[listen]\ncallers = %q\nplatform = %q\npeers = %q\ndns = %q\n[control]\nhosts = [%s]\n",
		name, host.Zone, host.Callers, host.Platform, host.Peers, host.DNS, quoted(c.ControlAddresses())) + c.keys.entrySection()
	if err := os.WriteFile(host.Config, []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return c.Restart(host, name, "snipebeam-entry")
}

func quoted(all []string) string {
	var parts []string
	for _, one := range all {
		parts = append(parts, fmt.Sprintf("%q", one))
	}
	return strings.Join(parts, ", ")
}

// StartInstance starts a stand-in instance with extra arguments and returns its
// process and address.
func (c *Cluster) StartInstance(id, service, zone string, extra ...string) (*Process, string, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, "", err
	}
	args := append([]string{"upstream", "--id", id, "--service", service, "--zone", zone, "--listen", address, "--entries", strings.Join(c.PlatformAddresses(), ",")}, extra...)
	if c.keys.upstreams != "" {
		args = append(args, "--key-file", c.keys.upstreams)
	}
	p, err := c.Start(id, "snipebeam-standin", args...)
	if err != nil {
		return nil, "", err
	}
	c.instances = append(c.instances, p)
	return p, address, nil
}

// WaitReady waits until /readyz of every entry host answers 200.
func (c *Cluster) WaitReady() error {
	for _, host := range c.Entries {
		if err := waitURL("http://" + host.Platform + "/readyz"); err != nil {
			return errors.Wrap(err, host.Name())
		}
	}
	return nil
}

func waitURL(url string) error {
	deadline := time.Now().Add(readyLimit)
	for time.Now().Before(deadline) {
		response, err := http.Get(url)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyPoll)
	}
	return errors.Errorf("%s is not ready within %s", url, readyLimit)
}

// Close kills all instances and hosts.
func (c *Cluster) Close() {
	for _, p := range c.instances {
		p.Kill()
	}
	for _, host := range append(append([]*Host{}, c.Entries...), c.Controls...) {
		if host.Process != nil {
			host.Kill()
		}
	}
}

// Terminate sends SIGTERM for a graceful stop and waits up to the limit for the
// process to exit.
func (p *Process) Terminate(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrap(err, "send SIGTERM")
	}
	return p.Wait(limit)
}
