package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/cluster"
	"github.com/snipebeam/snipebeam/standin/caller"
)

const (
	controlHosts = 3
	entryHosts   = 3
	submitTries  = 40
	settleTime   = 250 * time.Millisecond
	settleLimit  = 10 * time.Second
)

type demo struct {
	cli     flags
	cluster *cluster.Cluster
	dir     string
	tool    *tool
	drained instance   // told to drain
	keyed   []instance // all that count executions
	events  eventLog
}

// instance is a stand-in instance of the demo.
type instance struct {
	id      string
	address string
}

func (d *demo) run(ctx context.Context) error {
	started := time.Now()
	if err := d.start(ctx); err != nil {
		return err
	}
	fmt.Printf("%d control hosts, %d entry hosts and %d instances are up after %s\n\n", controlHosts, entryHosts, instances(), time.Since(started).Round(time.Millisecond))
	over := make(chan struct{})
	go func() {
		defer close(over)
		d.happen(ctx)
	}()
	summaries := d.load(ctx)
	<-over
	if ctx.Err() != nil {
		return errors.Wrap(ctx.Err(), "interrupted")
	}
	err := d.summarise(ctx, summaries)
	fmt.Printf("\ntook %s\n", time.Since(started).Round(time.Second))
	return err
}

func instances() int {
	n := 0
	for _, w := range workloads {
		n += w.instances
	}
	return n
}

func (d *demo) start(ctx context.Context) error {
	if err := d.cluster.StartControl(controlHosts); err != nil {
		return err
	}
	if err := d.cluster.StartEntries(entryHosts, zones...); err != nil {
		return err
	}
	if err := d.firstSubmit(ctx); err != nil {
		return err
	}
	if err := d.cluster.WaitReady(); err != nil {
		return err
	}
	if err := d.startInstances(); err != nil {
		return err
	}
	return d.waitInstances(ctx)
}

// firstSubmit tries until the control hosts have elected a leader.
func (d *demo) firstSubmit(ctx context.Context) error {
	var err error
	for range submitTries {
		if _, err = d.tool.quiet(ctx, "submit", d.cli.Rules, "--author", "demo", "--reason", "the first rules", "--state-dir", d.dir); err == nil {
			return nil
		}
		time.Sleep(settleTime)
	}
	return err
}

func (d *demo) startInstances() error {
	for _, w := range workloads {
		for n := range w.instances {
			id := fmt.Sprintf("%s-%d", w.service, n+1)
			_, address, err := d.cluster.StartInstance(id, w.service, zones[n%len(zones)])
			if err != nil {
				return err
			}
			if w.once != "" {
				d.drained = instance{id: id, address: address}
				d.keyed = append(d.keyed, d.drained)
			}
		}
	}
	return nil
}

// waitInstances waits until every entry host knows every instance.
func (d *demo) waitInstances(ctx context.Context) error {
	deadline := time.Now().Add(settleLimit)
	for time.Now().Before(deadline) {
		var seen []struct {
			SeenBy []string `json:"seenBy"`
		}
		if err := d.tool.read(ctx, &seen, "instances"); err == nil && len(seen) == instances() && seenByAll(seen) {
			return nil
		}
		time.Sleep(settleTime)
	}
	return errors.Errorf("the entry hosts do not know all %d instances after %s", instances(), settleLimit)
}

func seenByAll(seen []struct {
	SeenBy []string `json:"seenBy"`
},
) bool {
	for _, one := range seen {
		if len(one.SeenBy) < entryHosts {
			return false
		}
	}
	return true
}

// summarise prints what happened and judges it.
func (d *demo) summarise(ctx context.Context, summaries []caller.Summary) error {
	d.events.print()
	fmt.Println()
	for n, s := range summaries {
		fmt.Printf("%-10s %s\n", workloads[n].service, s)
	}
	fmt.Println("\nthe system's view:")
	if err := d.tool.shown(ctx, "hosts"); err != nil {
		return err
	}
	fmt.Println()
	if err := d.tool.shown(ctx, "backlog"); err != nil {
		return err
	}
	return d.judge(ctx, summaries)
}
