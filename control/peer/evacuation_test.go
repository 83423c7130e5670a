package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/wire"
)

// evacuate orders at a host until the order is acknowledged.
func (g *group) evacuate(h *host, zone string, end bool) {
	g.t.Helper()
	g.eventually("an order at "+h.name, func() bool {
		if h.node.Confirm(context.Background()) != nil {
			return false
		}
		order := &wire.EvacuationOrder{Zone: zone, End: end, KnownOrders: h.machine.EvacuationOrders(zone)}
		result, err := h.node.Propose(context.Background(), &wire.Command{Body: &wire.Command_Evacuation{Evacuation: order}})
		return err == nil && !result.GetEvacuation().GetOvertaken()
	})
}

// confirmedZones returns the evacuated zones as a host confirms them.
func (g *group) confirmedZones(h *host) []string {
	g.t.Helper()
	g.eventually("a confirmed read at "+h.name, func() bool { return h.node.Confirm(context.Background()) == nil })
	zones, _ := h.machine.EvacuatedZones()
	return zones
}

// Guards against an acknowledged order that is lost with the power of all hosts: it must be on
// the disks of a quorum before it is acknowledged.
func TestEvacuationSurvivesALossOfPowerOfAllHosts(t *testing.T) {
	g := newGroup(t, 3)
	for n, h := range g.hosts { // any host takes orders
		g.evacuate(h, "a", false)
		if n == 0 {
			continue
		}
		for _, h := range g.hosts {
			h.folder.Crash(func(int) int { return 0 }) // what is not synced is lost
		}
		for _, h := range g.hosts {
			h.stop()
		}
		for _, h := range g.hosts {
			g.start(h)
		}
		must.Eq(t, []string{"a"}, g.confirmedZones(h))
		g.evacuate(h, "a", true)
		must.SliceEmpty(t, g.confirmedZones(g.hosts[0]))
	}
}

// Guards against an evacuation that ends with the leader, or with a disk.
func TestEvacuationSurvivesTheLossOfTheLeaderAndItsDisk(t *testing.T) {
	g := newGroup(t, 3)
	g.evacuate(g.hosts[0], "a", false)
	lost := g.leader()
	rest := g.others(lost)
	g.loseDisk(lost)
	must.Eq(t, []string{"a"}, g.confirmedZones(rest[0]))
	g.evacuate(rest[1], "b", false)
	g.submit(rest[0], 0)
	must.Eq(t, []string{"a", "b"}, g.confirmedZones(rest[0]))
}

// Without a majority no order is acknowledged, and what is in force stays.
func TestEvacuationStaysWithoutAMajority(t *testing.T) {
	g := newGroup(t, 3)
	g.evacuate(g.hosts[0], "a", false)
	last := g.leader()
	for _, h := range g.others(last) {
		h.stop()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond) // it would wait for a majority
	defer cancel()
	_, err := last.node.Propose(ctx, &wire.Command{Body: &wire.Command_Evacuation{Evacuation: &wire.EvacuationOrder{Zone: "a", End: true, KnownOrders: 1}}})
	must.Error(t, err)
	zones, _ := last.machine.EvacuatedZones()
	must.Eq(t, []string{"a"}, zones)
}

// An order that was proposed before a change of the leader and not acknowledged does not
// undo one that was acknowledged after it.
func TestOrderLeftByAPreviousLeaderUndoesNoLaterOne(t *testing.T) {
	g := newGroup(t, 3)
	g.evacuate(g.hosts[0], "a", false)
	left := &wire.Command{Body: &wire.Command_Evacuation{Evacuation: &wire.EvacuationOrder{Zone: "a", End: true, KnownOrders: 1}}}
	old := g.leader()
	for _, h := range g.others(old) {
		h.stop()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := old.node.Propose(ctx, left) // it may be in the old leader's log
	must.Error(t, err)
	for _, h := range g.others(old) {
		g.start(h)
	}
	g.evacuate(g.others(old)[0], "a", false)
	must.Eq(t, []string{"a"}, g.confirmedZones(old))
	g.eventually("the delayed order has no effect", func() bool {
		result, err := old.node.Propose(context.Background(), left)
		return err == nil && result.GetEvacuation().GetOvertaken()
	})
	must.Eq(t, []string{"a"}, g.confirmedZones(old))
}
