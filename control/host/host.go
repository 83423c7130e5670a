// Package host wires the components of a control host together with fx.
//
// Usage:
//
//	app := host.New(cfg, logger)
//	app.Run()
package host

import (
	"context"
	"net"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/demand"
	"github.com/snipebeam/snipebeam/control/directory"
	"github.com/snipebeam/snipebeam/control/entry"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/operator"
	"github.com/snipebeam/snipebeam/control/peer"
	"github.com/snipebeam/snipebeam/control/prometheus"
	"github.com/snipebeam/snipebeam/control/quota"
	"github.com/snipebeam/snipebeam/control/settings"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/intake"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/link"
	"github.com/snipebeam/snipebeam/world/wire"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// New returns the fx application of one control host.
func New(cfg *settings.Settings, logger hclog.Logger, opts ...Option) *fx.App {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	return fx.New(
		fx.Supply(cfg, o),
		fx.Provide(
			func() hclog.Logger { return logger },
			state.New,
			newFleet,
			newReplicaStore,
			newNode,
			newLog,
			newSeeds,
			newRules,
			newEvacuations,
			newInstances,
			newDirectory,
			entry.NewClaims,
			newQuota,
			newDecider,
			newRing,
			newOperatorRing,
			newServers,
			prometheus.New,
			newBudget,
			newServer,
		),
		fx.Invoke(runNode, runInstances, runDecider, runListeners, runReload, runStop),
		fx.StopTimeout(stopLimit(cfg)),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
}

func newFleet(machine *state.Machine) *fleet.Fleet {
	return fleet.New(fleet.WithRecords(machine))
}

func newRules(cfg *settings.Settings, log agreement.Log, machine *state.Machine, hosts *fleet.Fleet, dir *directory.Directory, decider *demand.Decider) *operator.Rules {
	return operator.New(cfg.Host.Name, log, machine, hosts).WithZone(cfg.Host.Zone).WithDirectory(dir).WithAdmission(decider)
}

func newDecider(cfg *settings.Settings, log agreement.Log, machine *state.Machine, hosts *fleet.Fleet, logger hclog.Logger) *demand.Decider {
	return demand.New(cfg.Host.Name, log, machine, hosts, logger)
}

func runDecider(lc fx.Lifecycle, decider *demand.Decider) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() { go decider.Run(ctx) }, cancel))
}

func newEvacuations(cfg *settings.Settings, log agreement.Log, machine *state.Machine, hosts *fleet.Fleet, logger hclog.Logger) *operator.Evacuations {
	opts := []operator.EvacuationsOption{operator.WithOwnZone(cfg.Host.Zone)}
	if len(cfg.Host.Zones) > 0 {
		opts = append(opts, operator.WithZones(cfg.Host.Zones))
	}
	return operator.NewEvacuations(cfg.Host.Name, log, machine, hosts, logger, opts...)
}

func newQuota(cfg *settings.Settings, log agreement.Log, hosts *fleet.Fleet, dir *directory.Directory, logger hclog.Logger) *quota.Service {
	return quota.New(cfg.Host.Name, log, hosts, quota.WithTerms(dir.Terms), quota.WithOrganisations(dir.Organisation), quota.WithLogger(logger.Named("quota")))
}

func newRing(cfg *settings.Settings) (*key.Ring, error) { return key.Load(cfg.Keys.Peers) }

func newServer(lc fx.Lifecycle, cfg *settings.Settings, logger hclog.Logger, ring *key.Ring, operators operatorRing, all *servers, node *peer.Node, rules *operator.Rules, claims *entry.Claims, evacuations *operator.Evacuations, grants *quota.Service, exporter *prometheus.Exporter, budget *intake.Budget) *http.Server {
	mux := http.NewServeMux()
	handleRules(mux, ring, operators, all, counted(wire.NewRulesServer(rules)))
	handleEvacuations(mux, operators, all.calls(counted(wire.NewEvacuationsServer(evacuations))))
	handleClaims(mux, ring, operators, all.calls(counted(wire.NewClaimsServer(claims))))
	mux.Handle(wire.QuotaPathPrefix, ring.Authenticate(all.calls(counted(wire.NewQuotaServer(grants)))))
	replicas := http.NewServeMux()
	replicas.Handle(wire.QuorumPathPrefix, link.BoundedHandler(ring.Authenticate(counted(wire.NewQuorumServer(node.Service()))), maxReplicaBytes))
	handleGroup(mux, operators, all.calls(counted(wire.NewGroupServer(node.Group()))))
	handleHealth(mux, node, exporter)
	replicas.Handle("/", link.BoundedHandler(mux, maxMessageBytes))
	server := all.server(replicas)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp", cfg.Listen.Peers)
			if err != nil {
				return errors.Wrap(err, "listen for peers")
			}
			logger.Info("control host started", "host", cfg.Host.Name, "peers", listener.Addr().String())
			go serve(server, intake.Protect(server, listener, budget, peerIntake(cfg)), logger)
			return nil
		},
		OnStop: func(ctx context.Context) error { return shutdownSoon(ctx, server) },
	})
	return server
}

func serve(server *http.Server, listener net.Listener, logger hclog.Logger) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		logger.Error("peers listener failed", "error", err)
	}
}
