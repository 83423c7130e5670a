package host

import (
	"context"
	"net/http"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/admission"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/peer"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/registry"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
	"go.uber.org/fx"
)

func newNode(cfg *settings.Settings, ring *key.Ring, client *http.Client, reg *registry.Registry, state *State, suspects *poison.Tracker, logger hclog.Logger) (*peer.Node, error) {
	node, err := peer.New(peer.Config{
		Self: &wire.GossipHost{
			Name: cfg.Host.Name, Zone: cfg.Host.Zone, State: state.Name(), CallersAddress: cfg.Listen.Callers,
			PeersAddress: cfg.Listen.Peers, PlatformAddress: cfg.Listen.Platform,
		},
		Registry: reg, State: state.Name, Suspects: suspects, Ring: ring, Client: client, BytesPerSecond: cfg.Peers.BytesPerSecond, Logger: logger,
	})
	if err != nil {
		return nil, err
	}
	suspects.SetBroadcast(node.BroadcastSuspects)
	return node, nil
}

// runNode must be the first to start and the last to stop, so that the other hosts
// receive the draining state of this host, and finally that it left.
func runNode(lc fx.Lifecycle, node *peer.Node) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := node.Listen(); err != nil {
				return err
			}
			go func() {
				defer close(done)
				node.Run(ctx)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			<-done
			return nil
		},
	})
}

func newRegistry(views *route.Views, suspects *poison.Tracker) *registry.Registry {
	return registry.New(views, registry.WithEnded(suspects.InstanceEnded))
}

func newMembers(reg *registry.Registry, suspects *poison.Tracker, logger hclog.Logger) *registry.Membership {
	return registry.NewMembership(reg, suspects, registry.WithLogger(logger))
}

func newWatch(cfg *settings.Settings, rates *placement.Rates, ring *key.Ring, table *rules.Table, state *State, node *peer.Node, members *registry.Membership, suspects *poison.Tracker, current *controlHosts, limits *rateLimitNews, hosts *relay, gate *admission.Gate, logger hclog.Logger) *control.Watch {
	client := ring.Client(&http.Client{Transport: control.Lenient(control.NewTransport(), logger)})
	opts := []control.WatchOption{
		control.WithRates(rates.Store), control.WithRateLimits(limits.apply), control.WithAdmissions(gate.Store),
		control.WithRestore(func(previous *wire.HostReport) { state.requests.RestoreAlarms(previous.GetBacklog()) }),
	}
	join := node.Join
	if cfg.Peers.Membership == settings.MembershipControl {
		opts = append(opts, control.WithMembership(&checkedMembership{Membership: members, check: hosts.SuspectLink}), control.WithZone(cfg.Host.Zone), control.WithRelays(hosts.store), control.WithIsolations(hosts.SuspectConnect))
		join = func([]*wire.GossipHost) {}
	}
	watch := control.NewWatch(current.Addresses, client, table, state.Report, join, logger, opts...)
	if cfg.Peers.Membership == settings.MembershipControl {
		suspects.SetBroadcast(func(ctx context.Context, _ []*wire.Suspect) { watch.Report(ctx) })
	}
	return watch
}

// checkedMembership checks once it knows the first instances whether this host reaches any.
type checkedMembership struct {
	*registry.Membership
	check func()
	once  sync.Once
}

// Apply applies instance records, oldest first, up to a revision.
func (m *checkedMembership) Apply(instances []*wire.Instance, revision uint64) {
	m.Membership.Apply(instances, revision)
	if len(instances) > 0 {
		m.once.Do(m.check)
	}
}
