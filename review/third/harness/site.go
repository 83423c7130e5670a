// Package harness runs the programs of this project as a small deployment on loopback
// addresses, with stand-ins for the platform, the operator, the instances and the clients.
//
// Each machine has an address of its own in a network that is chosen at random, so that ports
// are the same on all machines, as the pages say. Everything that a stand-in sees is written to
// a record.
package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of one deployment, the same on all machines.
type ports struct{ front, ready, control, directory, internal int }

// Site is one deployment.
type Site struct {
	root  string // of the repository
	tmp   string
	net   string // the first three numbers of all addresses
	ports ports
	roles map[string]role

	started time.Time
	mu      sync.Mutex
	record  *os.File
	nodes   []*Node
}

// fixedPorts are the ports of the metrics, which the templates of the settings name.
var fixedPorts = []int{9464, 9465}

// New returns a deployment without machines. It writes to the given record.
func New(record string) (*Site, error) {
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	s := &Site{root: root, started: time.Now()}
	if s.roles, err = readRoles(filepath.Join(root, "deploy", "system.toml")); err != nil {
		return nil, err
	}
	if s.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if s.tmp, err = os.MkdirTemp("", "snipebeam-review-"); err != nil {
		return nil, err
	}
	go s.endOnSignal()
	return s, s.chooseNetwork()
}

// endOnSignal ends the deployment if the script is told to stop.
func (s *Site) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	s.Close()
	os.Exit(ExitNotRun)
}

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Main runs a script on a new deployment and returns its exit code. The only argument of the
// program is the path of the record. trouble is false if the environment says TROUBLE=0.
func Main(script func(s *Site, trouble bool) (held bool, err error)) int {
	if len(os.Args) != 2 {
		fmt.Println("the path of the record is missing")
		return ExitNotRun
	}
	s, err := New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return ExitNotRun
	}
	defer s.Close()
	held, err := script(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.Note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return ExitNotRun
	case held:
		s.Note("the rule held")
		return ExitHeld
	}
	s.Note("the rule was broken")
	return ExitBroken
}

// repositoryRoot returns the nearest folder above the current one with the deploy file.
func repositoryRoot() (string, error) {
	dir, err := os.Getwd()
	for err == nil {
		if _, statErr := os.Stat(filepath.Join(dir, "deploy", "system.toml")); statErr == nil {
			return dir, nil
		}
		if filepath.Dir(dir) == dir {
			return "", fmt.Errorf("no deploy file above the current folder")
		}
		dir = filepath.Dir(dir)
	}
	return "", err
}

// maxMachines is the number of addresses of a network that are checked.
const maxMachines = 20

func (s *Site) chooseNetwork() error {
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 20_000 + 20*rand.IntN(500)
		s.ports = ports{front: base, ready: base + 1, control: base + 2, directory: base + 3, internal: base + 4}
		if s.free() {
			return nil
		}
	}
	return fmt.Errorf("no free ports on loopback addresses")
}

func (s *Site) free() bool {
	for host := 1; host <= maxMachines; host++ {
		for _, port := range append([]int{s.ports.front, s.ports.ready, s.ports.control, s.ports.directory, s.ports.internal, s.ports.internal + 1}, fixedPorts...) {
			listener, err := net.Listen("tcp", s.Address(host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// Address returns an address of the network.
func (s *Site) Address(host, port int) string { return fmt.Sprintf("%s%d:%d", s.net, host, port) }

// Note writes a line to the record.
func (s *Site) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("%8.3f s  ", time.Since(s.started).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = s.record.WriteString(strings.ReplaceAll(text, s.tmp, "TMP") + "\n")
}

// Close ends all processes that the deployment started, and removes its files. With
// SNIPEBEAM_REVIEW_KEEP set, the logs of the processes are kept.
func (s *Site) Close() {
	for _, n := range s.nodes {
		n.Kill()
	}
	if os.Getenv("SNIPEBEAM_REVIEW_KEEP") == "" {
		_ = os.RemoveAll(s.tmp)
	} else {
		fmt.Println("logs are in", s.tmp)
	}
	_ = s.record.Close()
}
