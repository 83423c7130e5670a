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
	controlHosts     = 3
	entryHosts       = 3
	submitAttempts   = 40
	pollInterval     = 250 * time.Millisecond
	instancesTimeout = 10 * time.Second
)

type demo struct {
	cli        flags
	cluster    *cluster.Cluster
	dir        string
	tool       *tool
	drained    instance   // drained under load
	atMostOnce []instance // instances of services with idempotency keys
	events     eventLog
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
	eventsDone := make(chan struct{})
	go func() {
		defer close(eventsDone)
		d.runEvents(ctx)
	}()
	summaries := d.load(ctx)
	<-eventsDone
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
	if err := d.submitInitialRules(ctx); err != nil {
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

// submitInitialRules retries until the control hosts have elected a leader.
func (d *demo) submitInitialRules(ctx context.Context) error {
	var err error
	for range submitAttempts {
		if _, err = d.tool.run(ctx, "submit", d.cli.Rules, "--author", "demo", "--reason", "the first rules", "--state-dir", d.dir); err == nil {
			return nil
		}
		time.Sleep(pollInterval)
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
			if w.keyHeader != "" {
				d.drained = instance{id: id, address: address}
				d.atMostOnce = append(d.atMostOnce, d.drained)
			}
		}
	}
	return nil
}

// waitInstances waits until every entry host lists every instance.
func (d *demo) waitInstances(ctx context.Context) error {
	deadline := time.Now().Add(instancesTimeout)
	for time.Now().Before(deadline) {
		var listed []struct {
			SeenBy []string `json:"seenBy"`
		}
		if err := d.tool.readJSON(ctx, &listed, "instances"); err == nil && len(listed) == instances() && seenByAll(listed) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Errorf("the entry hosts do not know all %d instances after %s", instances(), instancesTimeout)
}

// seenByAll reports whether every instance is seen by all entry hosts.
func seenByAll(listed []struct {
	SeenBy []string `json:"seenBy"`
},
) bool {
	for _, one := range listed {
		if len(one.SeenBy) < entryHosts {
			return false
		}
	}
	return true
}

// summarise prints the events, the load summaries and the operators' view, and
// verifies the outcome.
func (d *demo) summarise(ctx context.Context, summaries []caller.Summary) error {
	d.events.print()
	fmt.Println()
	for n, s := range summaries {
		fmt.Printf("%-10s %s\n", workloads[n].service, s)
	}
	fmt.Println("\nthe system's view:")
	if err := d.tool.runVisible(ctx, "hosts"); err != nil {
		return err
	}
	fmt.Println()
	if err := d.tool.runVisible(ctx, "backlog"); err != nil {
		return err
	}
	return d.verify(ctx, summaries)
}
