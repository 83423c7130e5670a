// Package host assembles an entry host with fx.
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
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/admission"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/discovery"
	"github.com/snipebeam/snipebeam/entry/dns"
	"github.com/snipebeam/snipebeam/entry/framing"
	"github.com/snipebeam/snipebeam/entry/isolation"
	"github.com/snipebeam/snipebeam/entry/operator"
	"github.com/snipebeam/snipebeam/entry/peer"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/prometheus"
	"github.com/snipebeam/snipebeam/entry/registry"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/intake"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/link"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// announcementTimeout bounds how long an instance may take to send the body of an
// announcement.
const announcementTimeout = 5 * time.Second

// messageTimeout bounds how long another host or an operator may take to send the body of
// a message.
const messageTimeout = 30 * time.Second

// rpcTimeout bounds one call to a control host or another entry host.
const rpcTimeout = 10 * time.Second

// maxMessageBytes bounds one message of a control host or another entry host, except polls.
const maxMessageBytes = 4 << 20

// New returns the application of one entry host.
func New(cfg *settings.Settings, logger hclog.Logger, opts ...Option) *fx.App {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	return fx.New(
		fx.Supply(cfg, o),
		fx.Provide(
			func() hclog.Logger { return logger },
			func() (*key.Ring, error) { return key.Load(cfg.Keys.Peers) },
			newPolicy,
			func() *route.Views { return &route.Views{} },
			newRegistry, newMembers,
			rules.NewTable, placement.NewRates, backlog.NewTracker, decision.NewLog,
			newControlHosts, newPool, newSettler, newSuspects,
			newClient, newClaims, newState, newWatch, newNode, newProber, newGrants, newReserve, newRateLimitNews, newDetector, newRelay, newGate, newRouter, newKeyRings, newExporter, newBudget,
		),
		fx.Invoke(membershipRunners(cfg)...),
		fx.Invoke(runBackground, runBacklog, runPeers, runListeners, runProbes, runReload, runRouter, runReserve, runIsolation, runCallers),
		fx.StopTimeout(stopLimit(cfg)),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
}

// State is the lifecycle state of this host, with its sources of status reports.
type State struct {
	cfg      *settings.Settings
	table    *rules.Table
	requests *backlog.Tracker
	suspects *poison.Tracker
	views    *route.Views
	reach    *isolation.Detector
	gate     *admission.Gate
	draining atomic.Bool
	left     atomic.Bool // drained and stopped
	bound    atomic.Bool // listeners are open
}

func newState(cfg *settings.Settings, table *rules.Table, requests *backlog.Tracker, suspects *poison.Tracker, views *route.Views, reach *isolation.Detector, gate *admission.Gate) *State {
	return &State{cfg: cfg, table: table, requests: requests, suspects: suspects, views: views, reach: reach, gate: gate}
}

func newGate() *admission.Gate { return admission.New() }

// Ready reports whether this host serves callers.
func (s *State) Ready() bool {
	return s.bound.Load() && !s.draining.Load() && s.table.Confirmed()
}

// Name returns "starting", "ready", "isolated", "draining" or "left".
func (s *State) Name() string {
	switch {
	case s.left.Load():
		return "left"
	case s.draining.Load():
		return "draining"
	case s.Ready() && s.reach.Isolated():
		return placement.StateIsolated
	case s.Ready():
		return placement.StateReady
	default:
		return "starting"
	}
}

// Report returns the status report that this host sends to control hosts and
// operators.
func (s *State) Report() *wire.HostReport {
	now := time.Now()
	inFlight, _ := s.requests.InFlight(now)
	return &wire.HostReport{
		Name: s.cfg.Host.Name, Zone: s.cfg.Host.Zone, Role: "entry", State: s.Name(),
		CallersAddress: s.cfg.Listen.Callers, PeersAddress: s.cfg.Listen.Peers, PlatformAddress: s.cfg.Listen.Platform,
		Version: s.table.Current().Number(), ReportedAt: now.UnixNano(), Backlog: s.requests.Services(now),
		VersionConfirmedAt: s.table.ConfirmedNano(), InFlight: uint32(inFlight), Suspects: s.suspects.Suspects(), RateCapacity: s.cfg.Host.RateCapacity(), ByteCapacity: s.cfg.Host.ByteCapacity(),
		RateLimits: statedRateLimits(s.views, now), Demand: s.gate.Report(),
	}
}

// membershipRunners returns the functions that run gossip membership: the protocol
// between entry hosts, and the platform and DNS listeners that depend on it. It
// returns none if the control hosts maintain the membership, because the watch then
// delivers it.
func membershipRunners(cfg *settings.Settings) []any {
	if cfg.Peers.Membership == settings.MembershipControl {
		return nil
	}
	return []any{runNode, runPlatform, runDNS}
}

func newClient(ring *key.Ring) *http.Client {
	return ring.Client(&http.Client{Timeout: rpcTimeout, Transport: link.Bounded(link.Transport(), maxMessageBytes)})
}

func newClaims(watch *control.Watch, client *http.Client) *control.Client {
	return control.NewClient(watch.Hosts, client)
}

func newPolicy(cfg *settings.Settings) route.Policy { return policyNamed(cfg.Route, cfg.Route.Policy) }

// policyNamed returns the policy of that name with this host's settings, or nil if
// there is none.
func policyNamed(cfg settings.Route, name string) route.Policy {
	if name == contract.PolicyAdaptive {
		return route.NewAdaptive(
			route.WithHeadroom(cfg.Headroom), route.WithFill(cfg.Fill), route.WithLatencyWeight(cfg.LatencyWeight),
			route.WithZoneCost(time.Duration(cfg.ZoneCostMicros)*time.Microsecond))
	}
	return route.ByName(name)
}

func newRouter(cfg *settings.Settings, rates *placement.Rates, views *route.Views, policy route.Policy, table *rules.Table, node *peer.Node, members *registry.Membership, prober *prober, grants *grants, gate *admission.Gate, logger hclog.Logger) *route.Router {
	dir := &directory{zone: cfg.Host.Zone, hostRate: cfg.Route.HostRate, rates: rates, table: table, entries: node.Entries}
	share := dir.share
	if cfg.Peers.Membership == settings.MembershipControl {
		share = func(string) float64 { return 1 / float64(members.ActiveHosts()) }
	}
	return route.NewRouter(views, policy,
		route.WithShare(share), route.WithHost(cfg.Host.Name), prober.routeOption(cfg),
		route.WithGate(gate),
		route.WithGrants(grants.request), route.WithRetryGrants(grants.requestRetries),
		route.WithRateLimitChanged(func(m route.Member, limit route.RateLimit) { logRateLimit(logger, m, limit, "response") }),
		route.WithLimits(route.Limits{
			QueueLength: cfg.Route.QueueLength, MaxWait: seconds(cfg.Route.QueueSeconds),
			MaxBypass: cfg.Route.Bypass, MaxEjected: cfg.Route.MaxEjected,
		}),
		route.WithPolicies(func(name string) route.Policy { return policyNamed(cfg.Route, name) }),
		route.WithTerms(func(service string) *contract.Service {
			return table.Current().Set().Terms(service)
		}))
}

// runBackground runs the loops that last until the end of the process. The final
// report says that this host left.
func runBackground(lc fx.Lifecycle, state *State, watch *control.Watch, decisions *decision.Log) {
	ctx, cancel := context.WithCancel(context.Background())
	watchDone := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(watchDone)
				watch.Run(ctx)
			}()
			go decisions.Run(ctx)
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			cancel()
			<-watchDone
			state.left.Store(true)
			watch.Report(stopCtx)
			return nil
		},
	})
}

func runPlatform(lc fx.Lifecycle, cfg *settings.Settings, budget *intake.Budget, rates *placement.Rates, logger hclog.Logger, state *State, table *rules.Table, node *peer.Node, decisions *decision.Log, keys *keyRings, exporter *prometheus.Exporter) {
	handler := discovery.New(discovery.Config{
		Host: cfg.Host.Name, Table: table, Members: node, Entries: node.Entries,
		Ready: state.Ready, Metrics: exporter.Write, Decisions: decisions, Keys: keys.upstreams, HostRate: cfg.Route.HostRate, Rate: rates.ArrivalRate,
	})
	server := newPlatformServer(cfg, handler)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			return listen(server, cfg.Listen.Platform, "platform", budget, platformIntake(cfg), logger)
		},
		OnStop: shutdown(server),
	})
}

func newPlatformServer(cfg *settings.Settings, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: cfg.Limits.HeaderBytes, ReadTimeout: seconds(cfg.Limits.HeaderTimeoutSeconds) + announcementTimeout,
		ReadHeaderTimeout: seconds(cfg.Limits.HeaderTimeoutSeconds), IdleTimeout: seconds(cfg.Limits.IdleTimeoutSeconds),
	}
}

func runPeers(lc fx.Lifecycle, cfg *settings.Settings, budget *intake.Budget, logger hclog.Logger, state *State, table *rules.Table, views *route.Views, requests *backlog.Tracker, decisions *decision.Log, node *peer.Node, ring *key.Ring, keys *keyRings) {
	service := operator.New(operator.Config{
		Host: cfg.Host.Name, Table: table, Views: views, Backlog: requests, Decisions: decisions,
		Report: state.Report, Drain: state.draining.Store, Logger: logger,
	})
	mux := http.NewServeMux()
	mux.Handle(wire.EntryPathPrefix, keys.operators.Authenticate(counted(wire.NewEntryServer(service))))
	mux.Handle(wire.PeerPathPrefix, ring.Authenticate(counted(wire.NewPeerServer(node.Service()))))
	server := &http.Server{Handler: link.BoundedHandler(mux, maxMessageBytes), MaxHeaderBytes: link.MaxHeaderBytes, ReadHeaderTimeout: seconds(cfg.Limits.HeaderTimeoutSeconds)}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			return listen(server, cfg.Listen.Peers, "peers", budget, messageIntake(cfg), logger)
		},
		OnStop: shutdown(server),
	})
}

func runDNS(lc fx.Lifecycle, cfg *settings.Settings, budget *intake.Budget, rates *placement.Rates, table *rules.Table, node *peer.Node) {
	server := dns.New(cfg.Listen.Domain, discovery.AddressTTL, &directory{zone: cfg.Host.Zone, hostRate: cfg.Route.HostRate, rates: rates, table: table, entries: node.Entries},
		dns.WithListener(func(l net.Listener) net.Listener { return intake.Listen(l, budget, queryBytes) }))
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			_, err := server.Start(cfg.Listen.DNS)
			return err
		},
		OnStop: server.Stop,
	})
}

func listen(server *http.Server, address, name string, budget *intake.Budget, limits intake.Limits, logger hclog.Logger) error {
	listener, err := link.Listen(context.Background(), address, link.MessageTimeouts)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", name)
	}
	serve(server, intake.Protect(server, listener, budget, limits), name, logger)
	return nil
}

func serve(server *http.Server, listener net.Listener, name string, logger hclog.Logger) {
	link.WithConns(server)
	listener = framing.Protect(server, listener)
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			logger.Error("listener failed", "listener", name, "error", err)
		}
	}()
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
