package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// role is a role of the deploy file.
type role struct {
	run      string
	template string
	env      map[string]string
}

// fleet runs the project's programs as processes, each at a loopback address of its own.
type fleet struct {
	root    string
	folder  string
	net     string // first three bytes of the addresses
	roles   map[string]role
	records *record
	nodes   []*node

	mu sync.Mutex
}

// node is one machine with one process.
type node struct {
	fleet     *fleet
	name      string
	role      string
	ip        string
	zone      string
	bootstrap bool
	seeds     []string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	wanted  bool // the test ended it
}

// Ports, the same on all machines of a day.
const (
	portFront     = "8641"
	portReady     = "8640"
	portControl   = "8649"
	portDirectory = "8653"
	portInternal  = "7620"
)

func newFleet(root string, records *record) (*fleet, error) {
	f := &fleet{root: root, records: records, roles: map[string]role{}}
	text, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	var current string
	for line := range strings.Lines(string(text)) {
		if parts := regexp.MustCompile(`^\[roles\.([a-z]+)\]`).FindStringSubmatch(line); parts != nil {
			current = parts[1]
		}
		parts := regexp.MustCompile(`^(run|template) = "([^"]*)"`).FindStringSubmatch(line)
		r := f.roles[current]
		switch {
		case current == "":
			continue
		case parts != nil && parts[1] == "run":
			r.run = parts[2]
		case parts != nil:
			r.template = parts[2]
		case strings.HasPrefix(line, "env = "):
			r.env = map[string]string{}
			for _, pair := range regexp.MustCompile(`([A-Z_]+) = "([^"]*)"`).FindAllStringSubmatch(line, -1) {
				r.env[pair[1]] = pair[2]
			}
		}
		f.roles[current] = r
	}
	if f.folder, err = os.MkdirTemp("", "review-second-"); err != nil {
		return nil, err
	}
	for range 50 {
		f.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", f.net+"1:"+portInternal)
		if err == nil {
			_ = listener.Close()
			return f, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// add adds a node that is not started yet.
func (f *fleet) add(name, roleName string, number int, zone string) *node {
	n := &node{fleet: f, name: name, role: roleName, ip: f.net + fmt.Sprint(number), zone: zone}
	f.nodes = append(f.nodes, n)
	return n
}

func (n *node) values() map[string]any {
	return map[string]any{
		"nodeName": n.name, "zone": n.zone, "region": "attica", "ip": n.ip, "internalPorts.0": portInternal,
		"zones":        map[string]string{"attica-a": "attica", "attica-b": "attica", "attica-c": "attica"},
		"listen.front": n.ip + ":" + portFront, "listen.ready": n.ip + ":" + portReady,
		"listen.control": n.ip + ":" + portControl, "listen.directory": n.ip + ":" + portDirectory,
		"limits.cpuShare": "0.224", "limits.linkMbps": "700.0", "limits.memoryMb": "206", "seeds": n.seeds,
		"bootstrap": fmt.Sprint(n.bootstrap), "faultTolerance.machines": "1", "dataDir": filepath.Join(n.fleet.folder, n.name+"-data"),
		"bounds.graceS": "6", "bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.budgetSlack": "125",
	}
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.fleet.roles[n.role]
	text, err := os.ReadFile(filepath.Join(n.fleet.root, r.template))
	if err != nil {
		return err
	}
	values := n.values()
	settings := filepath.Join(n.fleet.folder, n.name+".conf")
	if err := os.WriteFile(settings, []byte(render(string(text), values)), 0o600); err != nil {
		return err
	}
	words := strings.Fields(r.run)
	command := exec.Command(filepath.Join(n.fleet.root, words[0]), words[1:]...)
	command.Dir = n.fleet.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.fleet.folder, "LANG=C"}
	for name, value := range r.env {
		value = render(value, values)
		if name == "SNIPEBEAM_CONFIG" { // the platform's path of the settings file
			value = settings
		}
		command.Env = append(command.Env, name+"="+value)
	}
	log, err := os.OpenFile(filepath.Join(n.fleet.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	n.command, n.ended, n.wanted = command, make(chan struct{}), false
	n.fleet.records.add("process %s started", n.name)
	ended := n.ended
	go func() {
		err := command.Wait()
		n.mu.Lock()
		wanted := n.wanted
		n.mu.Unlock()
		n.fleet.records.add("process %s ended: %v, by this test: %v", n.name, err, wanted)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.wanted = true
	}
	n.fleet.records.add("signal %v to %s", s, n.name)
	_ = n.command.Process.Signal(s)
}

func (n *node) wait(limit time.Duration) bool {
	select {
	case <-n.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process at once.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.wait(5 * time.Second)
}

// endedByItself reports whether the process has ended without a signal of the test.
func (n *node) endedByItself() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil || n.wanted {
		return false
	}
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

func (n *node) logText() string {
	text, _ := os.ReadFile(filepath.Join(n.fleet.folder, n.name+".log"))
	return string(text)
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.command != nil {
			n.signal(syscall.SIGCONT)
			n.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// startAll starts control hosts and entry hosts as at the first start of the system.
func (f *fleet) startAll(controls, entries int) error {
	zones := []string{"attica-a", "attica-b", "attica-c"}
	var seeds []string
	for n := range controls {
		seeds = append(seeds, fmt.Sprintf("%s%d:%s", f.net, 10+n, portControl))
	}
	for n := range controls {
		c := f.add(fmt.Sprintf("core-%d", n+1), "control", 10+n, zones[n%3])
		c.seeds, c.bootstrap = seeds, true
	}
	for n := range entries {
		e := f.add(fmt.Sprintf("edge-%d", n+1), "entry", 40+n, zones[n%3])
		e.seeds = seeds
	}
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
		n.bootstrap = false // from the second start on
	}
	return nil
}

func (f *fleet) of(role string) (all []*node) {
	for _, n := range f.nodes {
		if n.role == role {
			all = append(all, n)
		}
	}
	return all
}

var quickClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call of the operator or an instance and returns the status, 0 for no response.
func call(method, url string, body []byte) (int, []byte) {
	return callWith(quickClient, method, url, body)
}

func callWith(client *http.Client, method, url string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// putConfig sends a configuration until a control host answers clearly.
func (f *fleet) putConfig(config any, limit time.Duration) (status int) {
	body, _ := json.Marshal(config)
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		for _, c := range f.of("control") {
			status, _ = call("POST", "http://"+c.ip+":"+portControl+"/v1/Config.Put", body)
			if status == 200 || status >= 400 && status < 500 {
				f.records.add("configuration sent to %s: %d", c.name, status)
				return status
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status
}

// awaitReady waits until all entry hosts are ready.
func (f *fleet) awaitReady(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		ready := 0
		for _, e := range f.of("entry") {
			if status, _ := call("GET", "http://"+e.ip+":"+portReady+"/v1/readyz", nil); status == 200 {
				ready++
			}
		}
		if ready == len(f.of("entry")) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (n *node) front() string { return n.ip + ":" + portFront }
