package host

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/isolation"
	"github.com/snipebeam/snipebeam/entry/peer"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/placement"
	"go.uber.org/fx"
)

func newDetector(pool *upstream.Pool, views *route.Views) *isolation.Detector {
	return isolation.New(pool.CanConnect, views)
}

// maxRelayLinks bounds the links to one other entry host. It may get all requests of
// this host.
const maxRelayLinks = 512

// relay implements caller.Relay.
type relay struct {
	*isolation.Detector
	name  string
	pool  *upstream.Pool
	hosts atomic.Pointer[[]string] // as control hosts sent them
	peers atomic.Pointer[peer.Node]
}

func newRelay(cfg *settings.Settings, detector *isolation.Detector) *relay {
	return &relay{Detector: detector, name: cfg.Host.Name, pool: upstream.NewPool(
		upstream.WithMaxLinks(maxRelayLinks), upstream.WithIdleLimit(seconds(cfg.Links.IdleSeconds)), upstream.WithMaxHeaderBytes(cfg.Links.HeaderBytes),
		upstream.WithProgress(seconds(cfg.Links.ProgressSeconds)), upstream.WithSilentLimit(seconds(cfg.Links.SilentSeconds)))}
}

func (r *relay) store(addresses []string) { r.hosts.Store(&addresses) }

// Hosts returns the addresses for callers of other entry hosts that reach instances.
func (r *relay) Hosts() []string {
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
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return slices.Clip(addresses)
}

// runIsolation tells the control hosts, and the requests that wait for an instance, when
// this host reaches none.
func runIsolation(lc fx.Lifecycle, detector *isolation.Detector, hosts *relay, node *peer.Node, router *route.Router, watch *control.Watch, logger hclog.Logger) {
	hosts.peers.Store(node)
	ctx, cancel := context.WithCancel(context.Background())
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
