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
	inForceBoundMs   = 3000
	drainSeenBoundMs = 2000
	controlBytes     = 8192
	controlCore      = 1.5
	controlResident  = 256
)

// Sizes of today.
const (
	entryHosts     = 29
	controlHosts   = 3
	todayInstances = 31
	dayChanges     = 14_000 // changes of configuration a day
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

// distribution measures one running fleet.
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
	if err := f.Announce(todayInstances); err != nil {
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

// usage reads what a host spends with today's instances while rules change as
// often as in two years.
func (d *distribution) usage() error {
	r, err := d.spend(dayChanges, usageSpan)
	if err != nil {
		return err
	}
	note := fmt.Sprintf("%d entry processes, %d instances, %d changes a day, announcements included; largest of the hosts", entryHosts, todayInstances, dayChanges)
	d.emit(figure.AtMost("control", "controlBytesPerSecondPerHost", r.BytesPerSecond, "bytes/s", controlBytes).WithNote(note))
	d.emit(figure.AtMost("control", "controlCorePercentPerHost", r.CorePercent, "%", controlCore).WithNote(fmt.Sprintf("%s; the mean is %.2f", note, r.MeanCorePercent)))
	d.emit(figure.AtMost("control", "controlResidentMB", r.ResidentMB, "MB", controlResident).WithNote(note))
	d.emit(figure.Plain("control", "controlHostCorePercent", r.ControlCorePercent, "%").WithNote("largest of the control processes"))
	d.emit(figure.AtMost("control", "controlHostResidentMB", r.ControlResidentMB, "MB", controlResident).WithNote("largest of the control processes"))
	return nil
}

// spend submits at a rate for a time and returns what the hosts spent.
func (d *distribution) spend(changesADay float64, span time.Duration) (fleet.Rate, error) {
	before := d.fleet.Usage()
	end := time.Now().Add(span)
	for changesADay > 0 && time.Now().Before(end) {
		if _, err := d.fleet.Submit(); err != nil {
			return fleet.Rate{}, err
		}
		time.Sleep(min(time.Duration(float64(24*time.Hour)/changesADay), time.Until(end)))
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

// leaderKilled kills the leader again and again while changes are submitted.
func (d *distribution) leaderKilled() error {
	var accepted []fleet.Accepted
	for range kills {
		leader, err := d.fleet.Leader()
		if err != nil {
			return err
		}
		leader.Kill()
		some, err := d.submit(killChanges)
		if err != nil {
			return err
		}
		accepted = append(accepted, some...)
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

// report waits until the last version must be in force and reads the logs.
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
