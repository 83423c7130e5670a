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
	first, revision := f.Suspects(0)
	must.Len(t, 1, first)
	report("a")
	_, same := f.Suspects(revision)
	must.Eq(t, revision, same)
	report("b")
	delta, _ := f.Suspects(revision)
	must.Len(t, 1, delta)
	must.SliceContainsAll(t, []string{"a", "b"}, delta[0].GetInstances())
}
