package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

func TestHostsThatAreIsolatedTogetherAreOneRevision(t *testing.T) {
	f, now := fleet.New(), time.Unix(1000, 0)
	_, changed := f.Isolations()
	report := func(name, state string, at time.Time) uint64 {
		f.BeginPoll(&wire.HostReport{Name: name, Role: placement.RoleEntry, State: state}, at)
		revision, _ := f.Isolations()
		return revision
	}
	must.Zero(t, report("a", placement.StateReady, now))
	must.One(t, report("a", placement.StateIsolated, now))
	select {
	case <-changed:
	default:
		t.Fatal("channel is not closed when a host is isolated")
	}
	must.One(t, report("b", placement.StateIsolated, now.Add(time.Millisecond)))
	must.One(t, report("a", placement.StateIsolated, now.Add(time.Minute)))
	must.Eq(t, 2, report("c", placement.StateIsolated, now.Add(time.Minute)))
}

// Hosts that were isolated within a second of others went on being relayed to, as nobody was told.
func TestHostsThatAreIsolatedShortlyAfterOthersAreToldOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New()
		report := func(name string) {
			f.BeginPoll(&wire.HostReport{Name: name, Role: placement.RoleEntry, State: placement.StateIsolated}, time.Now())
		}
		report("a")
		time.Sleep(10 * time.Millisecond)
		report("b")
		report("c")
		time.Sleep(time.Second)
		revision, _ := f.Isolations()
		must.Eq(t, 2, revision)
	})
}
