package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/world/wire"
)

func TestSuspectsAreMergedAndReportedOnce(t *testing.T) {
	f := fleet.New()
	changed := f.SuspectsChanged()
	report := func(instances ...string) {
		f.BeginPoll(&wire.HostReport{Name: "e", Suspects: []*wire.Suspect{{Fingerprint: 7, Instances: instances}}}, time.Now())
	}
	report("a")
	select {
	case <-changed:
	default:
		t.Fatal("channel is not closed when a suspect is added")
	}
	first, revision := f.Suspects(0, time.Now())
	must.Len(t, 1, first)
	report("a")
	_, same := f.Suspects(revision, time.Now())
	must.Eq(t, revision, same)
	report("b")
	delta, _ := f.Suspects(revision, time.Now())
	must.Len(t, 1, delta)
	must.SliceContainsAll(t, []string{"a", "b"}, delta[0].GetInstances())
}

// Hosts that repeat what they know made each loss look as young as its last report.
func TestRepeatedReportsKeepTheAgeOfALoss(t *testing.T) {
	f, now := fleet.New(), time.Now()
	report := func(age time.Duration, excused bool) {
		f.BeginPoll(&wire.HostReport{Name: "e", Suspects: []*wire.Suspect{{Fingerprint: 7, Losses: []*wire.Loss{{Instance: "a", AgeMs: age.Milliseconds(), Excused: excused}}}}}, now)
	}
	report(0, false)
	_, revision := f.Suspects(0, now)
	now = now.Add(time.Minute)
	report(time.Second, false) // late
	changed, _ := f.Suspects(revision, now)
	must.SliceEmpty(t, changed)
	all, _ := f.Suspects(0, now)
	must.Eq(t, time.Minute.Milliseconds(), all[0].GetLosses()[0].GetAgeMs())
	report(time.Minute, true)
	report(time.Minute, false)
	changed, _ = f.Suspects(revision, now)
	must.True(t, changed[0].GetLosses()[0].GetExcused())
	must.SliceEmpty(t, changed[0].GetInstances())
}

// A host that had polled an earlier process of a control host was not told of suspects.
func TestHostThatPolledAnEarlierProcessIsToldAllSuspects(t *testing.T) {
	f, now := fleet.New(), time.Now()
	f.BeginPoll(&wire.HostReport{Name: "e", Suspects: []*wire.Suspect{{Fingerprint: 7, Losses: []*wire.Loss{{Instance: "a"}}}}}, now)
	all, _ := f.Suspects(57, now)
	must.Len(t, 1, all)
}
