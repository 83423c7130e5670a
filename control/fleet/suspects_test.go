package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/world/wire"
)

func TestSuspectsAreMergedAndToldOnce(t *testing.T) {
	f := fleet.New()
	told := f.SuspectsChanged()
	report := func(instances ...string) {
		f.BeginPoll(&wire.HostReport{Name: "e", Suspects: []*wire.Suspect{{Fingerprint: 7, Instances: instances}}}, time.Now())
	}
	report("a")
	select {
	case <-told:
	default:
		t.Fatal("nobody is woken")
	}
	first, revision := f.Suspects(0)
	must.Len(t, 1, first)
	report("a")
	_, same := f.Suspects(revision)
	must.Eq(t, revision, same)
	report("b")
	news, _ := f.Suspects(revision)
	must.Len(t, 1, news)
	must.SliceContainsAll(t, []string{"a", "b"}, news[0].GetInstances())
}
