package isolation_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/isolation"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/instance"
)

// network is the instances that this host reaches.
type network struct {
	mu        sync.Mutex
	reachable map[string]bool
	hangs     bool // connections that are not accepted hang
	attempts  int
}

func (n *network) connect(ctx context.Context, address string) bool {
	n.mu.Lock()
	n.attempts++
	accepted, hangs := n.reachable[address], n.hangs
	n.mu.Unlock()
	if !accepted && hangs {
		<-ctx.Done()
	}
	return accepted
}

func (n *network) set(reachable bool, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range addresses {
		n.reachable[address] = reachable
	}
}

func (n *network) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.attempts
}

var addresses = []string{"a:1", "a:2", "b:1", "b:2", "b:3"}

func views() *route.Views {
	byService := map[string][]route.Member{}
	for _, address := range addresses {
		service := address[:1]
		byService[service] = append(byService[service], route.NewMember(instance.New(instance.ID(address), service, address), &route.Load{}))
	}
	all := map[string]*route.View{}
	for service, members := range byService {
		all[service] = route.NewView(service, members)
	}
	v := &route.Views{}
	v.Store(all)
	return v
}

func run(t *testing.T, test func(t *testing.T, d *isolation.Detector, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{reachable: map[string]bool{}, hangs: true}
		n.set(true, addresses...)
		d := isolation.New(n.connect, views())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Run(ctx, func(bool) {})
		test(t, d, n)
	})
}

func TestHostThatReachesNoInstanceKnowsWithinASecond(t *testing.T) {
	run(t, func(t *testing.T, d *isolation.Detector, n *network) {
		n.set(false, addresses...)
		d.SuspectConnect()
		time.Sleep(time.Second)
		must.True(t, d.Isolated())
		n.set(true, "a:1")
		time.Sleep(5 * time.Second)
		must.True(t, d.Isolated()) // one instance is not enough
		n.set(true, addresses...)
		time.Sleep(time.Second)
		must.False(t, d.Isolated())
	})
}

func TestLostInstanceDoesNotIsolateTheHost(t *testing.T) {
	run(t, func(t *testing.T, d *isolation.Detector, n *network) {
		n.set(false, "a:1", "a:2", "b:1")
		for range 100 {
			d.SuspectConnect()
			time.Sleep(10 * time.Millisecond)
			must.False(t, d.Isolated())
		}
	})
}

func TestFailedLinkIsNotCheckedAfterARecentResponse(t *testing.T) {
	run(t, func(t *testing.T, d *isolation.Detector, n *network) {
		d.Contact()
		d.SuspectLink()
		time.Sleep(time.Second)
		must.Zero(t, n.count())
		d.SuspectLink()
		time.Sleep(time.Second)
		must.One(t, n.count())
	})
}

func TestReachesTellsALostInstanceFromALostNetwork(t *testing.T) {
	run(t, func(t *testing.T, d *isolation.Detector, n *network) {
		n.set(false, "a:1")
		must.True(t, d.Reaches(t.Context(), "a:1"))
		time.Sleep(time.Second)
		n.set(false, addresses...)
		must.False(t, d.Reaches(t.Context(), "a:1")) // before the host knows
		time.Sleep(time.Second)
		n.set(true, addresses...)
		must.True(t, d.Reaches(t.Context(), "a:1"))
	})
}

// A host that had too little processor time took itself for isolated, and handed its requests, and
// those of isolated hosts, on.
func TestOverloadedHostDoesNotTakeItselfForIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{reachable: map[string]bool{}, hangs: true}
		n.set(false, addresses...)
		n.set(false, "control:1")
		d := isolation.New(n.connect, views(), isolation.WithReference(func() []string { return []string{"control:1"} }))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Run(ctx, func(bool) {})
		d.SuspectConnect()
		time.Sleep(time.Second)
		must.False(t, d.Isolated())
		n.set(true, "control:1")
		d.SuspectConnect()
		time.Sleep(time.Second)
		must.True(t, d.Isolated())
	})
}

// The first requests at a host that starts within a partition wait for connections that cannot be
// opened.
func TestHostThatStartsInAPartitionKnowsBeforeItsFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{reachable: map[string]bool{}, hangs: true}
		n.set(false, addresses...)
		d := isolation.New(n.connect, views())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Run(ctx, func(bool) {})
		time.Sleep(time.Second)
		must.True(t, d.Isolated())
	})
}
