package main

import (
	"fmt"
	"time"

	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/bench/membership"
)

func init() { registerPart("control", "membership", measureMembership) }

// membershipSize is the size of a simulated group.
type membershipSize struct {
	hosts     int
	instances int
}

var membershipSizes = []membershipSize{{29, 31}, {29, 1000}, {29, 3900}, {58, 1000}, {116, 1000}}

const (
	membershipSeed   = 20261204
	membershipSettle = 10 * time.Second
	// instanceSettle is the time that disseminating one more instance once takes.
	instanceSettle   = 50 * time.Millisecond
	membershipSpan   = 10 * time.Second
	membershipDrains = 10
	membershipLoss   = 0.01
)

// measureMembership measures the bytes of the membership protocol and the
// propagation delay of a drain, in virtual time, for groups that one machine
// cannot run as processes.
func measureMembership(emit func(figure.Figure)) error {
	for _, size := range membershipSizes {
		g := membership.New(size.hosts, size.instances, membershipSeed)
		g.SetLoss(membershipLoss)
		g.Run(membershipSettle + time.Duration(size.instances)*instanceSettle)
		bytes := g.BytesPerSecond(membershipSpan)
		worst := time.Duration(0)
		for n := range membershipDrains {
			worst = max(worst, g.Drain(n))
		}
		name := fmt.Sprintf("Hosts%dInstances%d", size.hosts, size.instances)
		emit(figure.AtMost("control", "gossipBytesPerSecond"+name, bytes, "bytes/s", controlBytesBound).WithNote("virtual time, sent and received, 1% loss, no changes"))
		emit(figure.AtMost("control", "gossipDrainSeenMs"+name, milliseconds(worst), "ms", drainSeenBoundMs).WithNote(fmt.Sprintf("virtual time, 1%% loss, worst of %d", membershipDrains)))
	}
	return nil
}
