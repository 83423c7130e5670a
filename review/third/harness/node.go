package harness

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// settingsPath is where the platform places the settings of a process.
const settingsPath = "/etc/snipebeam/local.conf"

// Node is a machine with one role.
type Node struct {
	site *Site
	role string
	name string
	host int
	zone string
	cmd  *exec.Cmd
	done chan struct{}
	runs int
}

// Zones of a deployment.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// Control returns a machine that serves control and directory.
func (s *Site) Control(n int) *Node { return s.node("control", "core", n, n) }

// Entry returns a machine that serves clients.
func (s *Site) Entry(n int) *Node { return s.node("entry", "edge", n, 7+n) }

func (s *Site) node(role, class string, n, host int) *Node {
	zone := Zones[(n-1)%len(Zones)]
	node := &Node{site: s, role: role, name: fmt.Sprintf("%s-%s-%d", class, zone, n), host: host, zone: zone}
	s.nodes = append(s.nodes, node)
	return node
}

// Name returns the name of the machine.
func (n *Node) Name() string { return n.name }

// ControlAddress returns the address for instances and operators.
func (n *Node) ControlAddress() string { return n.site.Address(n.host, n.site.ports.control) }

// FrontAddress returns the address for clients.
func (n *Node) FrontAddress() string { return n.site.Address(n.host, n.site.ports.front) }

// ReadyAddress returns the address of the ready check.
func (n *Node) ReadyAddress() string { return n.site.Address(n.host, n.site.ports.ready) }

// Seeds returns the control addresses of machines.
func Seeds(nodes ...*Node) []string {
	var all []string
	for _, n := range nodes {
		all = append(all, n.ControlAddress())
	}
	return all
}

func (n *Node) dir() string { return filepath.Join(n.site.tmp, n.name) }

func (n *Node) dataDir() string { return filepath.Join(n.dir(), "data") }

func (n *Node) fields(seeds []string, bootstrap bool) fields {
	p := n.site.ports
	ip := strings.TrimSuffix(n.site.Address(n.host, 0), ":0")
	return fields{
		"nodeName": n.name, "zone": n.zone, "ip": ip, "seeds": seeds, "bootstrap": strconv.FormatBool(bootstrap),
		"dataDir": n.dataDir(), "internalPorts": []string{strconv.Itoa(p.internal), strconv.Itoa(p.internal + 15)},
		"listen.front": n.FrontAddress(), "listen.ready": n.ReadyAddress(),
		"listen.control": n.ControlAddress(), "listen.directory": n.site.Address(n.host, p.directory),
		"limits.cpuShare": "0.224", "limits.linkMbps": "700.0", "limits.memoryMb": "280", "zones": Zones,
		"faultTolerance.machines": "1", "bounds.graceS": "6",
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "125", "bounds.budgetWindowS": "10",
	}
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start(seeds []string, bootstrap bool) error {
	r, values := n.site.roles[n.role], n.fields(seeds, bootstrap)
	if err := os.MkdirAll(n.dataDir(), 0o700); err != nil {
		return err
	}
	template, err := os.ReadFile(filepath.Join(n.site.root, r.template))
	if err != nil {
		return err
	}
	settings, err := values.fill(string(template))
	if err != nil {
		return err
	}
	file := filepath.Join(n.dir(), "settings")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	words := strings.Fields(r.run)
	n.cmd = exec.Command(filepath.Join(n.site.root, words[0]), words[1:]...)
	n.cmd.Dir = n.site.root
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SNIPEBEAM_SETTINGS=" + file}
	for name, text := range r.env {
		value, err := values.fill(strings.ReplaceAll(text, settingsPath, file))
		if err != nil {
			return err
		}
		n.cmd.Env = append(n.cmd.Env, name+"="+value)
	}
	n.runs++
	log, err := os.Create(filepath.Join(n.dir(), fmt.Sprintf("log-%d", n.runs)))
	if err != nil {
		return err
	}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.site.Note("%s started", n.name)
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		_ = log.Close()
		n.site.Note("%s ended: %v", n.name, err)
		close(done)
	}(n.cmd, n.done)
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) error {
	if !n.Running() {
		return errors.New(n.name + " does not run")
	}
	n.site.Note("%s gets %s", n.name, signal)
	return n.cmd.Process.Signal(signal)
}

// Running reports whether the process runs.
func (n *Node) Running() bool {
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	if n.Signal(syscall.SIGKILL) == nil {
		<-n.done
	}
}

// Wait waits for the end of the process, and reports whether it ended in time.
func (n *Node) Wait(limit time.Duration) bool {
	select {
	case <-n.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// LoseDisk removes what the machine has on its disk. Its process must not run.
func (n *Node) LoseDisk() error {
	n.site.Note("%s loses its disk", n.name)
	return os.RemoveAll(n.dataDir())
}

// PeakMB returns the most memory that the process has had resident, in MB.
func (n *Node) PeakMB() int {
	if !n.Running() {
		return 0
	}
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if after, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(after), "kB")))
			return kib >> 10
		}
	}
	return 0
}

// Log returns what the last process wrote.
func (n *Node) Log() string {
	data, _ := os.ReadFile(filepath.Join(n.dir(), fmt.Sprintf("log-%d", n.runs)))
	return string(data)
}

// Ready reports whether the machine says that it takes clients.
func (n *Node) Ready() bool {
	response, err := plain.Get("http://" + n.ReadyAddress() + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Eventually waits until a condition holds, and reports whether it did in time.
func Eventually(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
