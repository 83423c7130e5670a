package fleet_test

import (
	"fmt"
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

// oneRecord is the record of the instance "a/7".
type oneRecord struct {
	ended    bool
	revision uint64
}

func (r *oneRecord) end()                          { r.ended, r.revision = true, r.revision+1 }
func (r *oneRecord) Ended(incarnation string) bool { return r.ended && incarnation == "a/7" }
func (r *oneRecord) InstancesRevision() uint64     { return r.revision }

// A host that ended with the instance told nobody of the loss.
func TestControlHostsConfirmWhatAHostNoLongerCan(t *testing.T) {
	for _, endedFirst := range []bool{true, false} {
		records, now := &oneRecord{ended: endedFirst}, time.Now()
		f := fleet.New(fleet.WithRecords(records))
		changed := f.SuspectsChanged()
		f.BeginPoll(&wire.HostReport{Name: "e", Suspects: []*wire.Suspect{{Fingerprint: 7, Unconfirmed: []*wire.Loss{{Instance: "a/7", AgeMs: 10, Attempt: 3}}}}}, now)
		known, revision := f.Suspects(0, now)
		must.Eq(t, endedFirst, len(known) == 1)
		records.end()
		for range 2 { // once, although the attempt is reported again
			f.BeginPoll(&wire.HostReport{Name: "e", Suspects: []*wire.Suspect{{Fingerprint: 7, Unconfirmed: []*wire.Loss{{Instance: "a/7", AgeMs: 2010, Attempt: 3}}}}}, now.Add(2*time.Second))
			later, _ := f.Suspects(revision, now.Add(2*time.Second))
			must.Eq(t, !endedFirst, len(later) == 1)
		}
		known, _ = f.Suspects(0, now.Add(2*time.Second))
		must.Len(t, 1, known)
		must.Len(t, 1, known[0].GetLosses())
		select {
		case <-changed:
		default:
			t.Fatal("channel is not closed when a loss is confirmed")
		}
	}
}

// BenchmarkSuspectsWithPendingAttempts is the cost of a poll while thousands of connections have
// been reset.
func BenchmarkSuspectsWithPendingAttempts(b *testing.B) {
	records := &oneRecord{}
	f, now := fleet.New(fleet.WithRecords(records)), time.Now()
	for n := range 1800 {
		loss := &wire.Loss{Instance: fmt.Sprintf("i-%d/7", n%130), Attempt: uint64(n + 1)}
		f.BeginPoll(&wire.HostReport{Name: "e", Suspects: []*wire.Suspect{{Fingerprint: uint64(n), Unconfirmed: []*wire.Loss{loss}}}}, now)
	}
	for b.Loop() {
		f.Suspects(0, now)
	}
}
