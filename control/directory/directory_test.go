package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/directory"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

const text = `
route shop at a.example /x/: deadline 1s # Marie: why
route pay at a.example /pay/: deadline 1s # Marie: why
route pay=1,photos=1 at b.example /y/: deadline 1s # Marie: why
route alone at c.example /z/: deadline 1s # Marie: why
`

func newDirectory(hosts int, rate, capacity float64) *directory.Directory {
	d, _ := newDirectoryAndFleet(hosts, rate, capacity)
	return d
}

// report makes a host report another state.
func report(f *fleet.Fleet, name, zone, state string) {
	f.BeginPoll(&wire.HostReport{Name: name, Role: "entry", State: state, Zone: zone, CallersAddress: name + ":1"}, time.Now())
}

func newDirectoryAndFleet(hosts int, rate, capacity float64) (*directory.Directory, *fleet.Fleet) {
	m, f := state.New(), fleet.New()
	m.Apply(&wire.Command{Body: &wire.Command_Submit{Submit: &wire.SubmitRequest{SubmissionId: "1", Number: 7, Text: text}}})
	for n := range hosts {
		f.BeginPoll(&wire.HostReport{
			Name: fmt.Sprintf("e%d", n), Role: "entry", State: "ready", Zone: fmt.Sprint("z", n%3), RateCapacity: capacity, CallersAddress: fmt.Sprintf("e%d:1", n),
			Backlog: []*wire.ServiceBacklog{{Service: "photos", ArrivalsPerS: rate / float64(hosts)}},
		}, time.Now())
	}
	return directory.New(m, f), f
}

func TestNamesThatShareAServiceShareTheirEntryHosts(t *testing.T) {
	d := newDirectory(29, 10, 100)
	first, found := d.Resolve("A.example", "z0", "10.9.0.1")
	must.True(t, found)
	must.Len(t, 1, first)
	second, _ := d.Resolve("b.example", "z1", "10.9.0.1")
	must.Eq(t, first[0].GetName(), second[0].GetName())
	_, found = d.Resolve("none.example", "z0", "10.9.0.1")
	must.False(t, found)
}

func names(hosts []*wire.HostReport) map[string]bool {
	all := map[string]bool{}
	for _, host := range hosts {
		all[host.GetName()] = true
	}
	return all
}

func TestRatesAboveOneHostsCapacityReturnHostsOfTheCallersZone(t *testing.T) {
	d := newDirectory(29, 1000, 100)
	hosts, _ := d.Resolve("a.example", "z0", "10.9.0.1")
	must.Len(t, 4, hosts) // a third of 10, rounded up
	for _, host := range hosts {
		must.Eq(t, "z0", host.GetZone())
	}
	must.Eq(t, 10, d.ActiveHosts())
	alone, _ := d.Resolve("c.example", "z0", "10.9.0.1")
	must.Len(t, 1, alone)
	elsewhere, _ := d.Resolve("a.example", "unknown", "10.9.0.1")
	must.Len(t, 4, elsewhere)
}

func TestResolveReturnsAtMostMaxHosts(t *testing.T) {
	d := newDirectory(300, 1e6, 100)
	hosts, _ := d.Resolve("a.example", "z0", "10.9.0.1")
	must.Len(t, 64, hosts)
}

func TestLargeAndSmallBodiesUseDifferentHosts(t *testing.T) {
	m, f := state.New(), fleet.New()
	m.Apply(&wire.Command{Body: &wire.Command_Submit{Submit: &wire.SubmitRequest{SubmissionId: "1", Number: 7, Text: `
service shop: owner "x" # Marie: why
service photos: owner "x" # Marie: why
route shop at a.example /x/: deadline 1s # Marie: why
route photos at b.example /y/: deadline 1s, bulk # Marie: why
route shop=1,photos=9 at c.example /z/: deadline 1s # Marie: why
`}}})
	const hosts = 60
	for n := range hosts {
		f.BeginPoll(&wire.HostReport{
			Name: fmt.Sprintf("e%d", n), Role: "entry", State: "ready", Zone: fmt.Sprint("z", n%3), RateCapacity: 100, ByteCapacity: 27_500,
			Backlog: []*wire.ServiceBacklog{
				{Service: "shop", ArrivalsPerS: 500. / hosts, BytesPerS: 500_000. / hosts},
				{Service: "photos", ArrivalsPerS: 9. / hosts, BulkBytesPerS: 540_000. / hosts},
			},
		}, time.Now())
	}
	d := directory.New(m, f)
	small, _ := d.Resolve("a.example", "z1", "10.9.0.1")
	large, _ := d.Resolve("b.example", "z1", "10.9.0.1")
	must.Len(t, 7, small) // 500 kB/s need 19 hosts in three zones
	must.Len(t, 13, large)
	for name := range names(small) {
		must.False(t, names(large)[name], must.Sprint(name))
	}
}

// Without any request before them, the first callers of a zone were all given one host, and
// kept their connections to it.
func TestFirstCallersAreDividedAmongHosts(t *testing.T) {
	selected, _ := newExpecting(nil).Resolve("c.example", "z0", "10.9.0.1")
	must.Len(t, 12, selected) // a third of 36 hosts, for 200 requests a second of 3 kB
}

// newExpecting returns a directory of 90 hosts on slow links, and of instances that take
// 200 requests a second.
func newExpecting(backlog []*wire.ServiceBacklog) *directory.Directory {
	const hosts, slots = 90, 400
	m, f := state.New(), fleet.New()
	m.Apply(&wire.Command{Body: &wire.Command_Submit{Submit: &wire.SubmitRequest{SubmissionId: "1", Number: 7, Text: text}}})
	m.Apply(&wire.Command{Body: &wire.Command_Announce{Announce: &wire.Announcement{Instance: &wire.Instance{
		Id: "i1", Service: "alone", Address: "10.0.0.1:80", Slots: slots, Incarnation: 1, Sequence: 1,
	}}}})
	for n := range hosts {
		f.BeginPoll(&wire.HostReport{
			Name: fmt.Sprintf("e%d", n), Role: "entry", State: "ready", Zone: fmt.Sprint("z", n%3), RateCapacity: 130, ByteCapacity: 17_500, CallersAddress: fmt.Sprintf("e%d:1", n),
			Backlog: backlog,
		}, time.Now())
	}
	return directory.New(m, f)
}

// A few small requests before callers arrive made the pool as small as they need, so that
// the first callers shared a dozen hosts with slow links.
func TestFewSmallRequestsDoNotSizeThePoolForThoseExpected(t *testing.T) {
	backlog := []*wire.ServiceBacklog{{Service: "alone", ArrivalsPerS: 50. / 90, BytesPerS: 500. / 90}}
	selected, _ := newExpecting(backlog).Resolve("c.example", "z0", "10.9.0.1")
	must.Len(t, 9, selected) // a third of 27 hosts, for 150 unseen requests a second of 3 kB
}

func TestAHostThatDoesNotPollIsNotReturned(t *testing.T) {
	f := fleet.New()
	_, end := f.BeginPoll(&wire.HostReport{Name: "e", Role: "entry", State: "ready"}, time.Now())
	must.Len(t, 1, f.Polling(time.Now().Add(time.Hour)))
	end()
	must.Len(t, 1, f.Polling(time.Now()))
	must.SliceEmpty(t, f.Polling(time.Now().Add(2*fleet.PollGrace)))
}

// Guards against callers that are sent to hosts that reach no instance.
func TestIsolatedHostsAreResolvedOnlyIfAllAre(t *testing.T) {
	for _, rate := range []float64{10, 1000} { // one host, and many
		d, f := newDirectoryAndFleet(29, rate, 100)
		before, _ := d.Resolve("a.example", "z0", "10.9.0.1")
		isolated := names(before)
		for name := range isolated {
			report(f, name, before[0].GetZone(), placement.StateIsolated)
		}
		after, _ := d.Resolve("a.example", "z0", "10.9.0.1")
		must.SliceNotEmpty(t, after)
		for name := range names(after) {
			must.False(t, isolated[name], must.Sprint(name))
		}
		for n := range 29 {
			report(f, fmt.Sprintf("e%d", n), fmt.Sprint("z", n%3), placement.StateIsolated)
		}
		all, _ := d.Resolve("a.example", "z0", "10.9.0.1")
		must.SliceNotEmpty(t, all)
	}
}

func TestRelaysAreHostsThatCallersUse(t *testing.T) {
	d, f := newDirectoryAndFleet(29, 10, 100)
	must.Len(t, 3, d.Relays("e0", "z0")) // of all, as nobody has resolved a name
	d, f = newDirectoryAndFleet(29, 10, 100)
	used, _ := d.Resolve("a.example", "z0", "10.9.0.1")
	report(f, used[0].GetName(), used[0].GetZone(), placement.StateIsolated)
	next, _ := d.Resolve("a.example", "z0", "10.9.0.1")
	must.Eq(t, []string{next[0].GetCallersAddress()}, d.Relays(used[0].GetName(), "z0"))
	must.SliceNotContains(t, d.Relays(next[0].GetName(), "z0"), next[0].GetCallersAddress())
}

// The few hosts that callers of a zone used got the requests of all isolated hosts, while others
// had room.
func TestRelaysAreAllHostsIfCallersUseTooFewForTheLoad(t *testing.T) {
	d, f := newDirectoryAndFleet(29, 1000, 100)
	d.Resolve("c.example", "z0", "10.9.0.1") // of a service with few requests
	isolated := "e0"
	report(f, isolated, "z0", placement.StateIsolated)
	seen := map[string]bool{}
	for range 200 {
		for _, address := range d.Relays(isolated, "z0") {
			seen[address] = true
		}
	}
	must.MapLen(t, 28, seen)
}

// The 64 hosts that every caller of a zone was told carried all requests, beside 30 idle ones.
func TestCallersOfALargeZoneUseAllOfItsHosts(t *testing.T) {
	m, f := state.New(), fleet.New()
	m.Apply(&wire.Command{Body: &wire.Command_Submit{Submit: &wire.SubmitRequest{SubmissionId: "1", Number: 7, Text: `
service shop: owner "x" # Marie: why
service photos: owner "x" # Marie: why
route shop at a.example /x/: deadline 1s # Marie: why
route photos at a.example /y/: deadline 1s, bulk # Marie: why
`}}})
	const zones, perZone = 5, 90
	for n := range zones * perZone {
		f.BeginPoll(&wire.HostReport{
			Name: fmt.Sprintf("e%d", n), Role: "entry", State: "ready", Zone: fmt.Sprint("z", n%zones), RateCapacity: 190, ByteCapacity: 26_000,
			Backlog: []*wire.ServiceBacklog{
				{Service: "shop", ArrivalsPerS: 2, BytesPerS: 3000}, {Service: "photos", ArrivalsPerS: 0.3, BulkBytesPerS: 18_000},
			},
		}, time.Now())
	}
	d := directory.New(m, f)
	used := map[string]int{}
	for caller := range 1000 {
		hosts, _ := d.Resolve("a.example", "z1", fmt.Sprint("10.9.0.", caller))
		must.Len(t, 64, hosts)
		for name := range names(hosts) {
			used[name]++
		}
	}
	must.MapLen(t, perZone, used)
	for name, callers := range used {
		must.Between(t, 600, callers, 820, must.Sprint(name)) // 711 in the mean
	}
}

func TestACallerKeepsItsHostsWhenAnotherOneIsLost(t *testing.T) {
	d, f := newDirectoryAndFleet(300, 1e6, 100)
	before, _ := d.Resolve("a.example", "z0", "10.9.0.1")
	report(f, before[0].GetName(), "z0", "draining")
	after, _ := d.Resolve("a.example", "z0", "10.9.0.1")
	must.Len(t, 64, after)
	kept := 0
	for name := range names(after) {
		if names(before)[name] {
			kept++
		}
	}
	must.Eq(t, 63, kept)
}
