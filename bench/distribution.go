package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/bench/fleet"
)

func init() { registerPart("control", "distribution", measureDistribution) }

// Bounds of distribution and membership, from the users' targets.
const (
	inForceBoundMs          = 3000
	drainSeenBoundMs        = 2000
	controlBytesBound       = 8192
	controlCoreBoundPercent = 1.5
	controlResidentBoundMB  = 256
)

// Sizes of the current deployment.
const (
	entryHosts       = 29
	controlHosts     = 3
	currentInstances = 31
	dayChanges       = 14_000 // configuration changes per day
)

const (
	steadyChanges = 150 // submissions without a fault
	killChanges   = 60  // submissions around each kill of the leader
	changePause   = 100 * time.Millisecond
	kills         = 3
	drainTrials   = 30
	usageSpan     = 20 * time.Second
	settleSpan    = 8 * time.Second
)

// distribution measures a running fleet.
type distribution struct {
	fleet *fleet.Fleet
	emit  func(figure.Figure)
}

func measureDistribution(emit func(figure.Figure)) error {
	f, err := fleet.Start(entryHosts, controlHosts)
	if err != nil {
		return err
	}
	defer f.Close()
	d := &distribution{fleet: f, emit: emit}
	if err := f.Announce(currentInstances); err != nil {
		return err
	}
	time.Sleep(settleSpan)
	for _, measure := range []func() error{d.usage, d.drains, d.steady, d.leaderKilled, d.slopes} {
		if err := measure(); err != nil {
			return err
		}
	}
	return nil
}

// usage measures the resources of a host with the current number of instances,
// while rules change as often as is expected in two years.
func (d *distribution) usage() error {
	rate, err := d.measureUsage(dayChanges, usageSpan)
	if err != nil {
		return err
	}
	note := fmt.Sprintf("%d entry processes, %d instances, %d changes a day, announcements included; largest of the hosts", entryHosts, currentInstances, dayChanges)
	d.emit(figure.AtMost("control", "controlBytesPerSecondPerHost", rate.BytesPerSecond, "bytes/s", controlBytesBound).WithNote(note))
	d.emit(figure.AtMost("control", "controlCorePercentPerHost", rate.CorePercent, "%", controlCoreBoundPercent).WithNote(fmt.Sprintf("%s; the mean is %.2f", note, rate.MeanCorePercent)))
	d.emit(figure.AtMost("control", "controlResidentMB", rate.ResidentMB, "MB", controlResidentBoundMB).WithNote(note))
	d.emit(figure.Plain("control", "controlHostCorePercent", rate.ControlCorePercent, "%").WithNote("largest of the control processes"))
	d.emit(figure.AtMost("control", "controlHostResidentMB", rate.ControlResidentMB, "MB", controlResidentBoundMB).WithNote("largest of the control processes"))
	return nil
}

// measureUsage submits changes at a rate for a span and returns the resources
// that the hosts used.
func (d *distribution) measureUsage(changesPerDay float64, span time.Duration) (fleet.Rate, error) {
	before := d.fleet.Usage()
	end := time.Now().Add(span)
	for changesPerDay > 0 && time.Now().Before(end) {
		if _, err := d.fleet.Submit(); err != nil {
			return fleet.Rate{}, err
		}
		time.Sleep(min(time.Duration(float64(24*time.Hour)/changesPerDay), time.Until(end)))
	}
	time.Sleep(time.Until(end))
	return d.fleet.Usage().Since(before), nil
}

func (d *distribution) drains() error {
	var took []float64
	for n := range drainTrials {
		for _, draining := range []bool{true, false} {
			one, err := d.fleet.Drain(n, draining)
			if err != nil {
				return err
			}
			if draining {
				took = append(took, milliseconds(one))
			}
		}
	}
	slices.Sort(took)
	d.emit(figure.AtMost("control", "drainSeenMs", took[len(took)-1], "ms", drainSeenBoundMs).WithNote(fmt.Sprintf("worst of %d, seen by all %d entry processes; median %.0f", drainTrials, entryHosts, took[len(took)/2])))
	return nil
}

func (d *distribution) steady() error {
	accepted, err := d.submit(steadyChanges)
	if err != nil {
		return err
	}
	return d.report("acceptToInForceP99Ms", accepted, "no fault")
}

// leaderKilled repeatedly kills the leader while changes are submitted.
func (d *distribution) leaderKilled() error {
	var accepted []fleet.Accepted
	for range kills {
		leader, err := d.fleet.Leader()
		if err != nil {
			return err
		}
		leader.Kill()
		more, err := d.submit(killChanges)
		if err != nil {
			return err
		}
		accepted = append(accepted, more...)
		if err := d.fleet.Restart(leader, leader.Name(), "snipebeam-control"); err != nil {
			return errors.Wrap(err, "restart the leader")
		}
		time.Sleep(settleSpan / 2)
	}
	return d.report("acceptToInForceLeaderKilledP99Ms", accepted, fmt.Sprintf("%d times SIGKILL of the leader just before the changes", kills))
}

func (d *distribution) submit(n int) ([]fleet.Accepted, error) {
	var all []fleet.Accepted
	for range n {
		one, err := d.fleet.Submit()
		if err != nil {
			return nil, err
		}
		all = append(all, one)
		time.Sleep(changePause)
	}
	return all, nil
}

// report waits until the bound for the last version has passed, and reads from
// the logs when each version was in force on all hosts.
func (d *distribution) report(name string, accepted []fleet.Accepted, note string) error {
	time.Sleep(inForceBoundMs * time.Millisecond)
	var versions []uint64
	for _, one := range accepted {
		versions = append(versions, one.Version)
	}
	inForce, err := d.fleet.InForce(versions)
	if err != nil {
		return err
	}
	var took []float64
	slowest := 0.0
	for _, one := range accepted {
		took = append(took, max(0, milliseconds(inForce[one.Version].Sub(one.AcceptedAt))))
		slowest = max(slowest, milliseconds(inForce[one.Version].Sub(one.SentAt)))
	}
	slices.Sort(took)
	note = fmt.Sprintf("%s; from the answer until the last of %d entry processes has it, %d changes; worst %.1f, worst from the first send %.1f", note, entryHosts, len(took), took[len(took)-1], slowest)
	d.emit(figure.AtMost("control", name, took[(len(took)*99-1)/100], "ms", inForceBoundMs).WithNote(note))
	return nil
}
