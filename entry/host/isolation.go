package host

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/isolation"
	"github.com/snipebeam/snipebeam/entry/peer"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/intake"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/placement"
	"go.uber.org/fx"
)

func newDetector(pool *upstream.Pool, views *route.Views, control *controlHosts) *isolation.Detector {
	return isolation.New(pool.CanConnect, views, isolation.WithReference(control.Addresses))
}

// maxRelayLinks bounds the links to one other entry host. It may get all requests of
// this host.
const maxRelayLinks = 512

const (
	// avoidFor is the time for which an entry host that could not take a request is
	// tried after the others.
	avoidFor = 2 * time.Second
	// minRelayHosts is the number of usable hosts below which the control hosts are asked
	// for others.
	minRelayHosts = 2
	// refreshInterval is the least time between two such requests.
	refreshInterval = 250 * time.Millisecond
)

// relay implements caller.Relay.
type relay struct {
	*isolation.Detector
	name    string
	pool    *upstream.Pool
	hosts   atomic.Pointer[[]string] // as control hosts sent them
	peers   atomic.Pointer[peer.Node]
	refresh func() // asks the control hosts for other hosts

	mu          sync.Mutex
	inFlight    map[string]int       // by host
	avoided     map[string]time.Time // until then
	refreshedAt time.Time
}

func newRelay(cfg *settings.Settings, detector *isolation.Detector, budget *intake.Budget) *relay {
	return &relay{Detector: detector, name: cfg.Host.Name, inFlight: map[string]int{}, avoided: map[string]time.Time{}, refresh: func() {}, pool: upstream.NewPool(
		upstream.WithMaxLinks(maxRelayLinks), upstream.WithIdleLimit(seconds(cfg.Links.IdleSeconds)), upstream.WithMaxHeaderBytes(cfg.Links.HeaderBytes),
		upstream.WithProgress(seconds(cfg.Links.ProgressSeconds)), upstream.WithSilentLimit(seconds(cfg.Links.SilentSeconds)),
		upstream.WithOpened(budget.Link))}
}

func (r *relay) store(addresses []string) { r.hosts.Store(&addresses) }

// Hosts returns the addresses for callers of other entry hosts: first those that have not
// failed lately, and of these the ones to which this host relays the least.
func (r *relay) Hosts() []string {
	hosts := slices.Clone(r.known())
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
	slices.SortStableFunc(hosts, func(a, b string) int {
		_, avoidA := r.avoided[a]
		_, avoidB := r.avoided[b]
		if avoidA != avoidB {
			return boolRank(avoidA) - boolRank(avoidB)
		}
		return r.inFlight[a] - r.inFlight[b]
	})
	return hosts
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Began counts a request that is relayed to a host. The returned function ends it; usable
// is false if the host could not be reached, or takes no requests of others.
func (r *relay) Began(address string) (ended func(usable bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[address]++
	return func(usable bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.inFlight[address]--; r.inFlight[address] == 0 {
			delete(r.inFlight, address)
		}
		if usable {
			return
		}
		now := time.Now()
		r.avoided[address] = now.Add(avoidFor)
		if r.Isolated() && r.usable(now) < minRelayHosts && now.Sub(r.refreshedAt) >= refreshInterval {
			r.refreshedAt = now
			go r.refresh()
		}
	}
}

// usable returns the number of known hosts that are not avoided. The caller holds the lock.
func (r *relay) usable(now time.Time) int {
	n := 0
	for _, address := range r.known() {
		if !now.Before(r.avoided[address]) {
			n++
		}
	}
	return n
}

// known returns the addresses for callers of other entry hosts that are said to reach
// instances.
func (r *relay) known() []string {
	if hosts := r.hosts.Load(); hosts != nil {
		return *hosts
	}
	node := r.peers.Load()
	if node == nil {
		return nil
	}
	var addresses []string
	for _, host := range node.Entries() {
		if host.GetState() == placement.StateReady && host.GetName() != r.name {
			addresses = append(addresses, host.GetCallersAddress())
		}
	}
	return addresses
}

// runIsolation tells the control hosts, and the requests that wait for an instance, when
// this host reaches none.
func runIsolation(lc fx.Lifecycle, detector *isolation.Detector, hosts *relay, node *peer.Node, router *route.Router, watch *control.Watch, logger hclog.Logger) {
	hosts.peers.Store(node)
	ctx, cancel := context.WithCancel(context.Background())
	hosts.refresh = func() { watch.Report(ctx) }
	changed := func(isolated bool) {
		if isolated {
			logger.Warn("this host reaches no instance", "relays", hosts.Hosts())
			router.RejectWaiting(outcome.New(outcome.NotRun, outcome.NoInstance, "this host reaches no instance"))
		} else {
			logger.Info("this host reaches instances again")
			router.EndEjections()
		}
		go watch.Report(ctx)
	}
	lc.Append(fx.StartStopHook(func() { go detector.Run(ctx, changed) }, cancel))
}
