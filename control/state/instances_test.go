package state_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

type change func(*wire.Instance)

func instanceOf(id string, incarnation, sequence uint64, changes ...change) *wire.Instance {
	m := &wire.Instance{
		Id: id, Service: "shop", Address: "10.0.0.1:80", Zone: "z", Slots: 3, HeardBy: "c1",
		Incarnation: incarnation, Sequence: sequence,
	}
	for _, change := range changes {
		change(m)
	}
	return m
}

func draining(m *wire.Instance) { m.Draining = true }
func leaving(m *wire.Instance)  { m.Gone, m.Left = true, true }

func announce(m *state.Machine, instance *wire.Instance) *wire.AnnouncementResult {
	return announceAt(m, 0, instance)
}

func announceAt(m *state.Machine, clock time.Duration, instance *wire.Instance) *wire.AnnouncementResult {
	return m.Apply(&wire.Command{Clock: int64(clock), Body: &wire.Command_Announce{Announce: &wire.Announcement{Instance: instance}}}).GetAnnounce()
}

func TestLeaveWithoutIncarnationEndsTheRecordedOne(t *testing.T) {
	m := state.New()
	announce(m, instanceOf("a", 7, 1))
	must.True(t, announce(m, &wire.Instance{Id: "a", Gone: true, Left: true}).GetChanged())
	must.True(t, m.Instance("a").GetGone())
	must.Eq(t, 7, m.Instance("a").GetIncarnation())
}

func TestLeaveWithoutIncarnationEndsAnUnrecordedOne(t *testing.T) {
	for name, recorded := range map[string][]*wire.Instance{
		"nothing known":        nil,
		"an earlier start":     {instanceOf("a", 6, 4)},
		"an earlier one ended": {instanceOf("a", 6, 4), instanceOf("a", 6, 5, leaving)},
	} {
		m := state.New()
		announceAt := func(seconds int64, instance *wire.Instance) *wire.AnnouncementResult {
			return m.Apply(&wire.Command{Clock: seconds * 1e9, Body: &wire.Command_Announce{Announce: &wire.Announcement{Instance: instance}}}).GetAnnounce()
		}
		for _, instance := range recorded {
			announceAt(1, instance)
		}
		announceAt(10, &wire.Instance{Id: "a", Gone: true, Left: true})
		data, err := m.Snapshot()
		must.NoError(t, err)
		must.NoError(t, m.Restore(data))
		must.True(t, announceAt(13, instanceOf("a", 7, 1)).GetOutdated(), must.Sprint(name, ": a late announcement"))
		must.True(t, m.Instance("a").GetGone(), must.Sprint(name))
		must.True(t, announceAt(60, instanceOf("a", 8, 1)).GetChanged(), must.Sprint(name, ": a new start"))
		must.False(t, m.Instance("a").GetGone(), must.Sprint(name))
	}
}

func TestDrainIsIrrevocableWithinAnIncarnation(t *testing.T) {
	m := state.New()
	announce(m, instanceOf("a", 7, 1))
	must.True(t, announce(m, instanceOf("a", 7, 2, draining)).GetChanged())
	announce(m, instanceOf("a", 7, 3, func(m *wire.Instance) { m.HeardBy = "c2" }))
	must.True(t, m.Instance("a").GetDraining())
	announce(m, instanceOf("a", 8, 1))
	must.False(t, m.Instance("a").GetDraining())
}

// A renewal that only counts the cold time down would otherwise be a commit, and news for all
// hosts, with every announcement of every cold instance.
func TestRenewalThatCountsTheColdTimeDownChangesNothing(t *testing.T) {
	cold := func(left time.Duration) change {
		return func(m *wire.Instance) { m.Cold, m.WarmupLeftNs = left > 0, int64(left) }
	}
	m := state.New()
	must.True(t, announce(m, instanceOf("a", 7, 1, cold(3*time.Second))).GetChanged())
	must.Eq(t, int64(3*time.Second), m.Instance("a").GetWarmupLeftNs())
	must.False(t, state.ChangesRecord(m.Instance("a"), instanceOf("a", 7, 2, cold(time.Second))))
	must.False(t, announce(m, instanceOf("a", 7, 2, cold(time.Second))).GetChanged())
	must.True(t, announce(m, instanceOf("a", 7, 3, cold(0))).GetChanged())
	must.Zero(t, m.Instance("a").GetWarmupLeftNs())
}

func TestOutdatedAnnouncementsChangeNothing(t *testing.T) {
	for name, late := range map[string]*wire.Instance{
		"of an earlier start":                instanceOf("a", 6, 9),
		"overtaken":                          instanceOf("a", 7, 4, func(m *wire.Instance) { m.Cold = true }),
		"of an earlier user of the address":  instanceOf("b", 5, 1),
		"after the end, of the same address": instanceOf("gone", 4, 9),
	} {
		m := state.New()
		announce(m, instanceOf("gone", 4, 1))
		announce(m, instanceOf("gone", 4, 2, leaving))
		announce(m, instanceOf("a", 7, 5))
		_, before := m.Instances(0)
		must.True(t, announce(m, late).GetOutdated(), must.Sprint(name))
		_, after := m.Instances(0)
		must.Eq(t, before, after, must.Sprint(name))
	}
}

func TestLaterInstanceTakesOverTheAddress(t *testing.T) {
	m := state.New()
	announce(m, instanceOf("a", 7, 1))
	announce(m, instanceOf("b", 8, 1, func(m *wire.Instance) { m.Service = "other" }))
	all, _ := m.Instances(0)
	must.Len(t, 1, all)
	must.Eq(t, "b", all[0].GetId())
	must.True(t, m.Instance("a").GetGone())
}

func TestInstancesReturnsOnlyNewerRecords(t *testing.T) {
	m := state.New()
	announce(m, instanceOf("a", 7, 1))
	_, revision := m.Instances(0)
	announce(m, instanceOf("b", 7, 1, func(m *wire.Instance) { m.Address = "10.0.0.2:80" }))
	announce(m, instanceOf("a", 7, 2, leaving))
	changed, newest := m.Instances(revision)
	must.Len(t, 2, changed)
	must.Eq(t, "b", changed[0].GetId())
	must.True(t, changed[1].GetGone())
	none, _ := m.Instances(newest)
	must.SliceEmpty(t, none)
	// A restored machine returns the same records.
	data, err := m.Snapshot()
	must.NoError(t, err)
	other := state.New()
	must.NoError(t, other.Restore(data))
	restored, same := other.Instances(revision)
	must.Eq(t, newest, same)
	must.Eq(t, fmt.Sprint(changed), fmt.Sprint(restored))
}

// restored returns a machine that was restored from a snapshot of m after edit has
// changed it.
func restored(t *testing.T, m *state.Machine, edit func(*wire.StateSnapshot)) *state.Machine {
	t.Helper()
	data, err := m.Snapshot()
	must.NoError(t, err)
	s := &wire.StateSnapshot{}
	must.NoError(t, proto.Unmarshal(data, s))
	edit(s)
	data, err = proto.Marshal(s)
	must.NoError(t, err)
	other := state.New()
	must.NoError(t, other.Restore(data))
	return other
}

func unchanged(*wire.StateSnapshot) {}

// withoutRetention makes a snapshot one of a build that does not save until when
// records of ended instances are kept.
func withoutRetention(s *wire.StateSnapshot) {
	for _, m := range s.GetInstances() {
		m.LeaseUntil = 0
	}
}

func TestRestoredMachineDropsTombstonesAtTheSameTime(t *testing.T) {
	const snapshotAt, dropped = 15 * time.Minute, 21 * time.Minute
	for name, late := range map[string]*wire.Instance{
		"earlier start": instanceOf("a", 6, 1), "same start": instanceOf("a", 7, 1), "later start": instanceOf("a", 8, 1),
	} {
		for _, clock := range []time.Duration{snapshotAt, 20 * time.Minute, dropped, 36 * time.Minute} {
			m := state.New()
			announceAt(m, 0, instanceOf("a", 7, 1))
			announceAt(m, 0, instanceOf("a", 7, 2, leaving))
			announceAt(m, snapshotAt, instanceOf("b", 7, 1, func(m *wire.Instance) { m.Address = "10.0.0.2:80" }))
			other := restored(t, m, unchanged)
			want := announceAt(m, clock, late)
			must.Eq(t, late.GetIncarnation() == 8 || clock >= dropped, want.GetChanged(), must.Sprint(name, clock))
			must.Eq(t, want.String(), announceAt(other, clock, late).String(), must.Sprint(name, clock))
			must.Eq(t, m.Instance("a").String(), other.Instance("a").String(), must.Sprint(name, clock))
		}
	}
}

// A tombstone whose end is not known is kept for the whole retention from the time
// of the snapshot: too long, but late announcements are not accepted too early.
func TestTombstoneOfAnOlderBuildsSnapshotIsNotDroppedEarly(t *testing.T) {
	const snapshotAt = 15 * time.Minute
	for name, edit := range map[string]func(*wire.StateSnapshot){
		"not saved":     withoutRetention,
		"in the future": func(s *wire.StateSnapshot) { s.Instances[0].LeaseUntil = int64(1000 * time.Hour) },
	} {
		m := state.New()
		announceAt(m, 0, instanceOf("a", 7, 1))
		announceAt(m, 0, instanceOf("a", 7, 2, leaving))
		announceAt(m, snapshotAt, &wire.Instance{Id: "b", Gone: true})
		first := restored(t, m, edit)
		second := restored(t, first, unchanged)
		for _, other := range []*state.Machine{first, second} {
			must.True(t, announceAt(other, snapshotAt+20*time.Minute, instanceOf("a", 7, 1)).GetOutdated(), must.Sprint(name))
			must.True(t, announceAt(other, snapshotAt+21*time.Minute, instanceOf("a", 7, 1)).GetChanged(), must.Sprint(name))
		}
	}
}

func TestInstanceIsSilentUntilItsNextAnnouncement(t *testing.T) {
	m := state.New()
	announce(m, instanceOf("a", 7, 1))
	silent := &wire.Instance{Id: "a", Incarnation: 7, HeardBy: "c2", Silent: true}
	must.False(t, announce(m, silent).GetChanged(), must.Sprint("another host received its last announcement"))
	silent.HeardBy = "c1"
	must.True(t, announce(m, silent).GetChanged())
	must.True(t, m.Instance("a").GetSilent())
	must.True(t, announce(m, instanceOf("a", 7, 2)).GetChanged())
	must.False(t, m.Instance("a").GetSilent())
}

func TestTheHighestNumberIsInForce(t *testing.T) {
	m := state.New()
	submit := func(number uint64, text string) *wire.SubmitResponse {
		return m.Apply(&wire.Command{Body: &wire.Command_Submit{Submit: &wire.SubmitRequest{
			SubmissionId: fmt.Sprint(number), Number: number, Text: text, Document: []byte(text),
		}}}).GetSubmit()
	}
	must.True(t, submit(7, "seven").GetAccepted())
	must.True(t, submit(3, "three").GetSuperseded())
	must.True(t, submit(7, "other").GetSuperseded())
	must.True(t, submit(12, "twelve").GetAccepted())
	version, text := m.InForce()
	must.Eq(t, 12, version.GetNumber())
	must.Eq(t, "twelve", text)
	must.Eq(t, "twelve", string(m.Document()))
	data, err := m.Snapshot()
	must.NoError(t, err)
	other := state.New()
	must.NoError(t, other.Restore(data))
	must.Eq(t, "twelve", string(other.Document()))
	older, text := other.Version(7)
	must.Eq(t, 7, older.GetNumber())
	must.Eq(t, "seven", text)
	missing, _ := other.Version(8)
	must.Nil(t, missing)
}

// A reader that asks for changes again and again, and one that starts anew, know the same
// records, whatever was superseded, ended or restored meanwhile.
func TestReadersThatFollowChangesMissNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ids = 12
		m := state.New()
		known, revision := map[string]*wire.Instance{}, uint64(0)
		for n := range rapid.IntRange(1, 900).Draw(t, "changes") {
			id := rapid.IntRange(0, ids-1).Draw(t, "id")
			instance := instanceOf(fmt.Sprint(id), uint64(n/50+1), uint64(n+1), func(i *wire.Instance) {
				i.Address = fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(0, ids-1).Draw(t, "address"))
				i.Cold = n%2 == 0
			})
			if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
				leaving(instance)
			}
			announce(m, instance)
			switch rapid.IntRange(0, 40).Draw(t, "then") {
			case 0:
				data, err := m.Snapshot()
				must.NoError(t, err)
				m = state.New()
				must.NoError(t, m.Restore(data))
			case 1, 2, 3:
				var changed []*wire.Instance
				changed, revision = m.Instances(revision)
				for _, i := range changed {
					known[i.GetId()] = i
				}
			}
		}
		changed, _ := m.Instances(revision)
		for _, i := range changed {
			known[i.GetId()] = i
		}
		for id := range ids {
			got, want := known[fmt.Sprint(id)], m.Instance(fmt.Sprint(id))
			if !want.GetGone() || got != nil {
				must.True(t, proto.Equal(got, want), must.Sprintf("%d: %v, want %v", id, got, want))
			}
		}
	})
}

func TestIncarnationHasEndedOnceALaterOneUsesItsIdentifierOrAddress(t *testing.T) {
	announce := func(m *state.Machine, i *wire.Instance) {
		m.Apply(&wire.Command{Body: &wire.Command_Announce{Announce: &wire.Announcement{Instance: i}}})
	}
	for _, next := range []*wire.Instance{
		{Id: "a", Service: "shop", Address: "10.0.0.1:80", Incarnation: 8},
		{Id: "b", Service: "shop", Address: "10.0.0.1:80", Incarnation: 8},
	} {
		m := state.New()
		must.False(t, m.Ended("a/7"))
		announce(m, &wire.Instance{Id: "a", Service: "shop", Address: "10.0.0.1:80", Incarnation: 7})
		must.False(t, m.Ended("a/7"))
		announce(m, next)
		must.True(t, m.Ended("a/7"))
		must.False(t, m.Ended("a/8"))
		must.False(t, m.Ended("b/8"))
	}
	m := state.New()
	announce(m, &wire.Instance{Id: "a", Service: "shop", Address: "10.0.0.1:80", Incarnation: 7})
	announce(m, &wire.Instance{Id: "a", Incarnation: 7, Gone: true, Left: true})
	must.False(t, m.Ended("a/7"))
}
