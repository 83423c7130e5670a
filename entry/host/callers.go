package host

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/isolation"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/quota"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/intake"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/link"
	"go.uber.org/fx"
)

func newPool(cfg *settings.Settings, budget *intake.Budget) *upstream.Pool {
	return upstream.NewPool(
		upstream.WithMaxLinks(cfg.Links.PerInstance), upstream.WithIdleLimit(seconds(cfg.Links.IdleSeconds)),
		upstream.WithMaxHeaderBytes(cfg.Links.HeaderBytes),
		upstream.WithProgress(seconds(cfg.Links.ProgressSeconds)), upstream.WithSilentLimit(seconds(cfg.Links.SilentSeconds)),
		upstream.WithPace(cfg.Host.BodyPace()), upstream.WithOpened(budget.Link))
}

func newSettler(client *control.Client) *control.Settler { return control.NewSettler(client) }

func newSuspects(cfg *settings.Settings, logger hclog.Logger) *poison.Tracker {
	return poison.NewTracker(poison.WithLossLimit(cfg.Poison.Losses), poison.WithRefusalPeriod(seconds(cfg.Poison.RefusalSeconds)), poison.WithLogger(logger.Named("poison")))
}

// callerDeps holds the dependencies of the handler of caller requests.
type callerDeps struct {
	fx.In

	Config    *settings.Settings
	Logger    hclog.Logger
	State     *State
	Table     *rules.Table
	Router    *route.Router
	Reserve   *quota.Reserve
	Pool      *upstream.Pool
	Claims    *control.Client
	Settler   *control.Settler
	Suspects  *poison.Tracker
	Backlog   *backlog.Tracker
	Decisions *decision.Log
	Watch     *control.Watch
	Reach     *isolation.Detector
	Relay     *relay
	Keys      *key.Ring
	Options   options
	Intake    *intake.Budget
}

func (d *callerDeps) handler() *caller.Handler {
	limits := d.Config.Limits
	return caller.New(caller.Config{
		Host: d.Config.Host.Name, Zone: d.Config.Host.Zone, Table: d.Table, Router: d.Router, Pool: d.Pool,
		Claims: d.Claims, Settler: d.Settler, Suspects: d.Suspects, Reach: d.Reach, Relay: d.Relay, RelayPool: d.Relay.pool, PeerKeys: d.Keys, Budget: d.Router, Quota: d.Reserve, Backlog: d.Backlog, Decisions: d.Decisions,
		Stopping: &d.State.draining, Logger: d.Logger.Named("caller"),
		Dialect: d.Options.dialect,
		Limits: caller.Limits{
			BodyBytes: limits.BodyBytes, ResponseBytes: limits.ResponseBytes, BufferBytes: limits.BufferBytes, ProgressTimeout: seconds(limits.ProgressSeconds),
			ProgressBytes: limits.ProgressBytes, InFlight: limits.InFlight,
		},
	})
}

func runCallers(lc fx.Lifecycle, deps callerDeps) {
	cfg, logger, state := deps.Config, deps.Logger, deps.State
	handler := deps.handler()
	server := newCallerServer(&http.Server{
		Handler: handler, MaxHeaderBytes: cfg.Limits.HeaderBytes,
		ReadHeaderTimeout: seconds(cfg.Limits.HeaderTimeoutSeconds), IdleTimeout: seconds(cfg.Limits.IdleTimeoutSeconds),
	})
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(startCtx context.Context) error {
			listener, err := link.Listen(startCtx, cfg.Listen.Callers, link.BodyTimeouts)
			if err != nil {
				return errors.Wrap(err, "listen for callers")
			}
			limited := caller.LimitListener(listener, cfg.Limits.Links, cfg.Limits.LinksPerCaller)
			server.start(intake.Protect(server.Server, limited, deps.Intake, callerIntake(cfg)), logger)
			go deps.Pool.Run(ctx)
			go deps.Relay.pool.Run(ctx)
			state.bound.Store(true)
			logger.Info("entry host started", "host", cfg.Host.Name, "callers", cfg.Listen.Callers)
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			defer cancel()
			defer reportLimit(stopCtx, state, logger)()
			drain(stopCtx, state, deps.Settler, drainHooks{
				report: deps.Watch.Report,
				endRequestsAt: func(at time.Time) {
					handler.EndRequestsAt(at)
					deps.Router.CutOffAt(at)
				},
				closeListener: func() {
					handler.RefuseRequests()
					server.closeListener()
				},
			}, logger)
			return server.stop(stopCtx, func() int {
				n, _ := state.requests.InFlight(time.Now())
				return n
			})
		},
	})
}
