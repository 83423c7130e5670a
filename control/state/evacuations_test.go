package state_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
	"pgregory.net/rapid"
)

func evacuation(zone string, end bool, known uint64) *wire.Command {
	order := &wire.EvacuationOrder{Zone: zone, End: end, KnownOrders: known, Author: "Marie", Reason: "why"}
	return &wire.Command{At: 7, Body: &wire.Command_Evacuation{Evacuation: order}}
}

// evacuate applies an order whose proposer knows all orders before.
func evacuate(m *state.Machine, zone string, end bool) *wire.EvacuationResult {
	return m.Apply(evacuation(zone, end, m.EvacuationOrders(zone))).GetEvacuation()
}

func TestRepeatedOrderIsAcknowledgedAndChangesNothing(t *testing.T) {
	m := state.New()
	must.False(t, evacuate(m, "a", true).GetChanged())
	must.True(t, evacuate(m, "a", false).GetChanged())
	for range 3 {
		again := evacuate(m, "a", false)
		must.False(t, again.GetChanged())
		must.False(t, again.GetOvertaken())
		must.Eq(t, 1, again.GetRevision())
	}
	all, revision := m.Evacuations()
	must.Eq(t, 1, revision)
	must.Len(t, 1, all)
	must.Eq(t, "Marie", all[0].GetAuthor())
	must.Eq(t, 7, all[0].GetSince())
	must.True(t, evacuate(m, "a", true).GetChanged())
	zones, revision := m.EvacuatedZones()
	must.SliceEmpty(t, zones)
	must.Eq(t, 2, revision)
}

// Guards against an order that is delayed on its way and undoes a later one, which was
// acknowledged meanwhile.
func TestDelayedOrderDoesNotUndoALaterOne(t *testing.T) {
	for name, later := range map[string][]bool{
		"one later order":                {true},
		"a repeated order in between":    {false, true},
		"the later order is repeated":    {true, true},
		"ended and started, ended again": {false, true, false, true},
	} {
		m := state.New()
		delayed := evacuation("a", false, m.EvacuationOrders("a"))
		for _, end := range later {
			evacuate(m, "a", end)
		}
		evacuate(m, "b", false) // another zone's orders do not count
		result := m.Apply(delayed).GetEvacuation()
		must.True(t, result.GetOvertaken(), must.Sprint(name))
		zones, _ := m.EvacuatedZones()
		must.Eq(t, []string{"b"}, zones, must.Sprint(name))
	}
}

// A repeated order is acknowledged without a change. An opposite one that was sent before it
// must not be carried out after that.
func TestDelayedOrderDoesNotUndoARepeatedOne(t *testing.T) {
	m := state.New()
	evacuate(m, "a", false)
	delayed := evacuation("a", true, m.EvacuationOrders("a"))
	must.False(t, evacuate(m, "a", false).GetChanged())
	must.True(t, m.Apply(delayed).GetEvacuation().GetOvertaken())
	zones, _ := m.EvacuatedZones()
	must.Eq(t, []string{"a"}, zones)
}

func TestEvacuationsSurviveConfigurationsAndSnapshots(t *testing.T) {
	m := state.New()
	evacuate(m, "b", false)
	evacuate(m, "a", false)
	evacuate(m, "c", false)
	evacuate(m, "c", true)
	submit(m, &wire.SubmitRequest{SubmissionId: "one", Text: "text"})
	data, err := m.Snapshot()
	must.NoError(t, err)
	restored := state.New()
	changed := restored.EvacuationsChanged()
	must.NoError(t, restored.Restore(data))
	must.True(t, isClosed(changed))
	zones, revision := restored.EvacuatedZones()
	must.Eq(t, []string{"a", "b"}, zones)
	must.Eq(t, 4, revision)
	must.Eq(t, 2, restored.EvacuationOrders("c"))
	again, err := restored.Snapshot()
	must.NoError(t, err)
	must.Eq(t, data, again)
}

// A snapshot is encoded while the machine goes on.
func TestFrozenEvacuationsDoNotChange(t *testing.T) {
	m := state.New()
	evacuate(m, "a", false)
	frozen := m.Freeze()
	evacuate(m, "a", true)
	data, err := frozen.Encode()
	must.NoError(t, err)
	restored := state.New()
	must.NoError(t, restored.Restore(data))
	must.Eq(t, 1, restored.EvacuationOrders("a"))
	zones, _ := restored.EvacuatedZones()
	must.Eq(t, []string{"a"}, zones)
}

func isClosed(s state.Signal) bool {
	select {
	case <-s:
		return true
	default:
		return false
	}
}

// Watchers are woken by a change of the zones, and neither by a repeated order nor by a
// change of an instance.
func TestOnlyChangesOfTheZonesWakeTheirWatchers(t *testing.T) {
	m := state.New()
	changed := m.EvacuationsChanged()
	announce(m, instanceOf("i", 1, 1))
	must.False(t, isClosed(changed))
	evacuate(m, "a", true)
	must.False(t, isClosed(changed))
	instances := m.InstancesChanged()
	evacuate(m, "a", false)
	must.True(t, isClosed(changed))
	must.False(t, isClosed(instances))
}

// TestEvacuationsFollowTheOrdersInTheLog compares the machine with a plain model, over
// orders whose proposers know more or less of the others, and restores of snapshots.
func TestEvacuationsFollowTheOrdersInTheLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, evacuated, orders := state.New(), map[string]bool{}, map[string]uint64{}
		last := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			end := rapid.Bool().Draw(t, "end")
			behind := min(uint64(rapid.IntRange(0, 2).Draw(t, "behind")), orders[zone])
			result := m.Apply(evacuation(zone, end, orders[zone]-behind)).GetEvacuation()
			changes := evacuated[zone] == end
			must.Eq(t, changes && behind > 0, result.GetOvertaken())
			must.Eq(t, changes && behind == 0, result.GetChanged())
			if !result.GetOvertaken() {
				orders[zone]++
				evacuated[zone] = !end
			}
			if rapid.Bool().Draw(t, "restart") {
				data, err := m.Snapshot()
				must.NoError(t, err)
				m = state.New()
				must.NoError(t, m.Restore(data))
			}
			maps.DeleteFunc(evacuated, func(_ string, is bool) bool { return !is })
			zones, revision := m.EvacuatedZones()
			must.Eq(t, slices.Sorted(maps.Keys(evacuated)), zones)
			must.Eq(t, last+map[bool]uint64{true: 1}[result.GetChanged()], revision)
			last = revision
		}
	})
}

// TestRepeatedOrdersEndAcknowledgedAndUndoNoLaterOne simulates a caller that sends each order to
// several control hosts at once and again, until one acknowledges it, and then orders the
// opposite. Orders that it gave up are applied at any later time. It guards against a repeated
// order that is never acknowledged, and against one that undoes what was acknowledged after it.
func TestRepeatedOrdersEndAcknowledgedAndUndoNoLaterOne(t *testing.T) {
	const calmRound = 5 // from which on nothing is delayed or lost
	rapid.Check(t, func(t *rapid.T) {
		m := state.New()
		type sent struct {
			goal int
			cmd  *wire.Command
		}
		var pending []sent
		evacuated := func() bool {
			zones, _ := m.EvacuatedZones()
			return len(zones) > 0
		}
		for goal := range rapid.IntRange(1, 6).Draw(t, "orders") {
			end := goal%2 == 1
			for round, acknowledged := 0, false; !acknowledged; round++ {
				must.Less(t, calmRound+2, round, must.Sprint("not acknowledged"))
				for range rapid.IntRange(1, 3).Draw(t, "hosts") {
					pending = append(pending, sent{goal: goal, cmd: evacuation("a", end, m.EvacuationOrders("a"))})
				}
				applied := rapid.IntRange(0, 3).Draw(t, "applied")
				if round >= calmRound {
					applied = len(pending)
				}
				for range min(applied, len(pending)) {
					at := rapid.IntRange(0, len(pending)-1).Draw(t, "at")
					next, before := pending[at], evacuated()
					pending = slices.Delete(pending, at, at+1)
					overtaken := m.Apply(next.cmd).GetEvacuation().GetOvertaken()
					if next.goal != goal {
						must.Eq(t, before, evacuated(), must.Sprint("an order that was given up had an effect"))
					} else if !overtaken {
						must.Eq(t, !end, evacuated())
						acknowledged = acknowledged || round >= calmRound || rapid.Bool().Draw(t, "responds")
					}
				}
			}
			must.Eq(t, !end, evacuated())
		}
		last := evacuated()
		for _, late := range pending {
			m.Apply(late.cmd)
			must.Eq(t, last, evacuated(), must.Sprint("undone by a late order"))
		}
	})
}
