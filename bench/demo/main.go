// Command demo starts a small set of hosts on loopback, submits the example
// rules, loads four services, changes a rule, drains an instance and stops an
// entry host gracefully, and prints what the system saw.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/cluster"
	"github.com/snipebeam/snipebeam/standin/caller"
)

type flags struct {
	Programs string        `default:".bin" help:"Folder with the programs."`
	Rules    string        `default:"examples/trois-rivieres.rules" help:"Rules file to submit."`
	Duration time.Duration `default:"12s" help:"How long to load."`
}

// zones are the availability zones of the demo.
var zones = []string{"trois-rivieres", "shawinigan", "becancour"}

// workload is one service with its instances and its load.
type workload struct {
	service   string
	instances int
	method    string
	path      string
	rate      float64
	body      int
	once      string
}

var workloads = []workload{
	{service: "catalogue", instances: 10, method: http.MethodGet, path: "/lookup/titanium", rate: 300},
	{service: "checkout", instances: 6, method: http.MethodPost, path: "/payments/1", rate: 40, body: 512, once: "Idempotency-Key"},
	{service: "aftercare", instances: 6, method: http.MethodPost, path: "/photos/1", rate: 5, body: 1 << 20},
	{service: "orders", instances: 8, method: http.MethodGet, path: "/orders/1", rate: 100},
}

const (
	controlHosts = 3
	entryHosts   = 3
	stopLimit    = 30 * time.Second
	settleTime   = 1500 * time.Millisecond
)

func main() {
	var cli flags
	kong.Parse(&cli, kong.Name("demo"))
	if err := run(cli); err != nil {
		fmt.Fprintln(os.Stderr, "demo: "+err.Error())
		os.Exit(1)
	}
}

func run(cli flags) error {
	dir, err := os.MkdirTemp("", "snipebeam-demo-")
	if err != nil {
		return errors.Wrap(err, "make folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c, err := cluster.New(cli.Programs, dir)
	if err != nil {
		return err
	}
	defer c.Close()
	d := &demo{cli: cli, cluster: c, dir: dir}
	return d.run()
}

type demo struct {
	cli     flags
	cluster *cluster.Cluster
	dir     string
	drained string // address of the instance to drain
}

func (d *demo) run() error {
	if err := d.start(); err != nil {
		return err
	}
	summaries := d.load()
	if err := d.tool("status"); err != nil {
		return err
	}
	return d.judge(summaries)
}

func (d *demo) start() error {
	if err := d.cluster.StartControl(controlHosts); err != nil {
		return err
	}
	if err := d.cluster.StartEntries(entryHosts, zones...); err != nil {
		return err
	}
	if err := d.submit(d.cli.Rules); err != nil {
		return err
	}
	if err := d.cluster.WaitReady(); err != nil {
		return err
	}
	for _, w := range workloads {
		for n := range w.instances {
			_, address, err := d.cluster.StartInstance(fmt.Sprintf("%s-%d", w.service, n+1), w.service, zones[n%len(zones)])
			if err != nil {
				return err
			}
			if w.service == "catalogue" {
				d.drained = address
			}
		}
	}
	time.Sleep(settleTime)
	return nil
}

// submit tries until the control hosts are up.
func (d *demo) submit(path string) error {
	var err error
	for range 20 {
		if err = d.tool("submit", path, "--author", "demo"); err == nil {
			return nil
		}
		time.Sleep(settleTime / 5)
	}
	return err
}

func (d *demo) tool(args ...string) error {
	cmd := exec.Command(filepath.Join(d.cli.Programs, "snipebeam"), append(args, "--control", strings.Join(d.cluster.ControlAddresses(), ","))...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return errors.Wrapf(cmd.Run(), "snipebeam %s", args[0])
}

// load runs all workloads at once, and the events beside them.
func (d *demo) load() []caller.Summary {
	summaries := make([]caller.Summary, len(workloads))
	var group sync.WaitGroup
	for n, w := range workloads {
		group.Go(func() {
			summaries[n] = caller.Run(context.Background(), caller.Config{
				Platforms: d.cluster.Platforms(), Service: w.service, Zone: zones[n%len(zones)], Method: w.method,
				Path: w.path, Rate: w.rate, Duration: d.cli.Duration, BodyBytes: w.body, Once: w.once,
			})
		})
	}
	group.Go(d.events)
	group.Wait()
	return summaries
}

// events changes a rule, drains an instance and stops an entry host.
func (d *demo) events() {
	step := d.cli.Duration / 6
	time.Sleep(step)
	d.report("rule change", d.changeRule())
	time.Sleep(step)
	d.report("drain of an instance", d.drainInstance())
	time.Sleep(step)
	d.report("graceful stop of "+d.cluster.Entries[0].Name(), d.cluster.Entries[0].Terminate(stopLimit))
}

func (d *demo) report(what string, err error) {
	if err != nil {
		fmt.Printf("%s: failed: %v\n", what, err)
		return
	}
	fmt.Printf("%s: done\n", what)
}

func (d *demo) changeRule() error {
	text, err := os.ReadFile(d.cli.Rules)
	if err != nil {
		return errors.Wrap(err, "read rules")
	}
	changed := filepath.Join(d.dir, "changed.rules")
	next := strings.Replace(string(text), "deadline 300ms, retries 2", "deadline 400ms, retries 2", 1)
	if err := os.WriteFile(changed, []byte(next), 0o644); err != nil {
		return errors.Wrap(err, "write rules")
	}
	return d.submit(changed)
}

func (d *demo) drainInstance() error {
	req, err := http.NewRequest(http.MethodPut, "http://"+d.drained+"/standin/faults", strings.NewReader(`{"draining":true}`))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "drain")
	}
	return response.Body.Close()
}

// judge prints the outcomes; any but an answer was not allowed here.
func (d *demo) judge(summaries []caller.Summary) error {
	bad := 0
	for n, s := range summaries {
		fmt.Printf("%-10s sent %5d  outcomes %v  wrong %d  p50 %.1f ms  p99 %.1f ms  p999 %.1f ms\n",
			workloads[n].service, s.Sent, s.Outcomes, s.Wrong, s.P50Ms, s.P99Ms, s.P999Ms)
		bad += s.Sent - s.Outcomes["answer"] + s.Wrong
	}
	if bad > 0 {
		return errors.Errorf("%d requests had an outcome that the rules do not allow", bad)
	}
	return nil
}
