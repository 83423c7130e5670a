package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Zones of the deployment.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

const (
	// bounds of the site bijoux-tr
	graceS       = 6
	retryBudget  = 0.2
	budgetSlack  = 125
	budgetWindow = 10
)

// System is a deployment of control and entry hosts, each with a loopback
// address of its own.
type System struct {
	Record   *Record
	Folder   string
	root     string
	prefix   string
	ports    ports
	first    []*Host // the control hosts at the start, three of which are the seeds
	added    []*Host
	Controls []*Host
	Entries  []*Host
}

// All systems of this process, which CloseAll closes.
var (
	systemsMu sync.Mutex
	systems   []*System
)

// CloseAll ends the processes of all systems.
func CloseAll() {
	systemsMu.Lock()
	defer systemsMu.Unlock()
	for _, s := range systems {
		s.Close()
	}
}

// Host is one host, whose process can be started, killed and started again.
type Host struct {
	Name   string
	IP     string
	Data   string
	system *System
	zone   string
	entry  bool
	cmd    *exec.Cmd
	ended  chan error
}

// NewSystem prepares a deployment in a temporary folder. root is the repository.
func NewSystem(root string, record *Record, controls, entries int) (*System, error) {
	folder, err := os.MkdirTemp("", "snipebeam-review-")
	if err != nil {
		return nil, err
	}
	s := &System{Record: record, Folder: folder, root: root}
	systemsMu.Lock()
	systems = append(systems, s)
	systemsMu.Unlock()
	s.prefix = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
	if err := s.choosePorts(); err != nil {
		return nil, err
	}
	for n := range controls {
		h := s.host("control-"+strconv.Itoa(n+1), 11+n, n, false)
		h.Data = filepath.Join(folder, h.Name+".data")
		s.Controls = append(s.Controls, h)
	}
	s.first = append(s.first, s.Controls...)
	for n := range entries {
		s.Entries = append(s.Entries, s.host("entry-"+strconv.Itoa(n+1), 31+n, n, true))
	}
	return s, nil
}

// ports are the same on all hosts.
type ports struct{ peers, control, directory, ready, callers int }

// choosePorts chooses ports that are free at an address of the prefix.
func (s *System) choosePorts() error {
	for _, port := range []*int{&s.ports.peers, &s.ports.control, &s.ports.directory, &s.ports.ready, &s.ports.callers} {
		listener, err := net.Listen("tcp", s.prefix+".11:0")
		if err != nil {
			return err
		}
		*port = listener.Addr().(*net.TCPAddr).Port
		defer func() { _ = listener.Close() }()
	}
	return nil
}

func (s *System) host(name string, last, n int, entry bool) *Host {
	return &Host{Name: name, IP: fmt.Sprintf("%s.%d", s.prefix, last), system: s, zone: Zones[n%len(Zones)], entry: entry}
}

// Address returns the n-th address for stand-ins.
func (s *System) Address(n int) string { return fmt.Sprintf("%s.%d", s.prefix, 101+n) }

// ControlAddress is where instances and operators reach the host.
func (h *Host) ControlAddress() string { return fmt.Sprintf("%s:%d", h.IP, h.system.ports.control) }

// DirectoryAddress is where clients ask the host for addresses.
func (h *Host) DirectoryAddress() string { return fmt.Sprintf("%s:%d", h.IP, h.system.ports.directory) }

// CallersAddress is where clients send requests.
func (h *Host) CallersAddress() string { return fmt.Sprintf("%s:%d", h.IP, h.system.ports.callers) }

// ReadyAddress is where the platform asks whether the host is ready.
func (h *Host) ReadyAddress() string { return fmt.Sprintf("%s:%d", h.IP, h.system.ports.ready) }

// Zone returns the zone of the host.
func (h *Host) Zone() string { return h.zone }

// settings fills in the template of the deploy file.
func (h *Host) settings(bootstrap bool) (string, error) {
	name := "control.toml"
	if h.entry {
		name = "entry.toml"
	}
	text, err := os.ReadFile(filepath.Join(h.system.root, "deploy", name))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, c := range h.system.first {
		seeds = append(seeds, strconv.Quote(c.ControlAddress()))
	}
	filled := string(text)
	const open, end = "{{#seeds}}", "{{/seeds}}"
	if from, to := strings.Index(filled, open), strings.Index(filled, end); from >= 0 && to > from {
		filled = filled[:from] + strings.Join(seeds, ",") + filled[to+len(end):]
	}
	filled = strings.NewReplacer(
		"{{nodeName}}", h.Name, "{{zone}}", h.zone, "{{ip}}", h.IP, "{{listen.front}}", h.CallersAddress(),
		"{{internalPorts.0}}", strconv.Itoa(h.system.ports.peers), "{{bounds.graceS}}", strconv.Itoa(graceS),
		"{{limits.cpuShare}}", "0.224", "{{limits.linkMbps}}", "700.0", "{{dataDir}}", h.Data,
		"{{bootstrap}}", strconv.FormatBool(bootstrap), "{{faultTolerance.machines}}", "1",
	).Replace(filled)
	if strings.Contains(filled, "{{") {
		return "", errors.New(name + " has a placeholder that is not filled in")
	}
	path := filepath.Join(h.system.Folder, h.Name+".toml")
	return path, os.WriteFile(path, []byte(filled), 0o600)
}

// Start starts the process of the host with the command of the deploy file.
func (h *Host) Start(bootstrap bool) error {
	path, err := h.settings(bootstrap)
	if err != nil {
		return err
	}
	program := "target/snipebeam-control"
	env := []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"SNIPEBEAM_CONFIG=" + path,
	}
	if h.entry {
		program = "target/snipebeam-entry"
		env = append(env, "SNIPEBEAM_READY="+h.ReadyAddress())
	} else {
		env = append(
			env, "SNIPEBEAM_CONTROL_ADDRESS="+h.ControlAddress(), "SNIPEBEAM_DIRECTORY_ADDRESS="+h.DirectoryAddress(),
			fmt.Sprintf("SNIPEBEAM_RETRY_BUDGET=%g", retryBudget), fmt.Sprintf("SNIPEBEAM_RETRY_ALLOWANCE=%d", budgetSlack),
			fmt.Sprintf("SNIPEBEAM_RETRY_WINDOW=%d", budgetWindow),
		)
	}
	log, err := os.OpenFile(h.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = h.system.root, env, log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	h.cmd, h.ended = cmd, make(chan error, 1)
	go func(ended chan error) {
		ended <- cmd.Wait()
		_ = log.Close()
	}(h.ended)
	h.system.Record.Line("%s started, process %d", h.Name, cmd.Process.Pid)
	return nil
}

// LogPath returns the path of the host's log.
func (h *Host) LogPath() string { return filepath.Join(h.system.Folder, h.Name+".log") }

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.system.Record.Line("%s gets %s", h.Name, s)
	_ = h.cmd.Process.Signal(s)
}

// SignalQuickly is Signal, recorded after the signal.
func (h *Host) SignalQuickly(s syscall.Signal) {
	_ = h.cmd.Process.Signal(s)
	h.system.Record.Line("%s got %s", h.Name, s)
}

// Wait waits for the end of the process and reports whether it ended in time.
func (h *Host) Wait(limit time.Duration) (err error, ended bool) {
	select {
	case err = <-h.ended:
		h.ended <- err
		return err, true
	case <-time.After(limit):
		return nil, false
	}
}

// StartAll starts all hosts, with empty disks.
func (s *System) StartAll() error {
	for _, h := range append(append([]*Host{}, s.Controls...), s.Entries...) {
		if err := h.Start(true); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes that the system started.
func (s *System) Close() {
	for _, h := range s.hosts() {
		if h.cmd == nil {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		_, _ = h.Wait(5 * time.Second)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.Folder)
	}
}

// AddControl adds a control host, which is not started. It is no seed of the others.
func (s *System) AddControl() *Host {
	n := len(s.Controls)
	h := s.host("control-"+strconv.Itoa(n+1), 11+n, n, false)
	h.Data = filepath.Join(s.Folder, h.Name+".data")
	s.added = append(s.added, h)
	return h
}

// hosts returns all hosts, also those that were replaced.
func (s *System) hosts() []*Host {
	seen := map[*Host]bool{}
	var all []*Host
	for _, group := range [][]*Host{s.first, s.added, s.Entries} {
		for _, h := range group {
			if !seen[h] {
				seen[h] = true
				all = append(all, h)
			}
		}
	}
	return all
}
