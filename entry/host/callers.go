package host

import (
	"context"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/link"
	"go.uber.org/fx"
)

func newPool(cfg *settings.Settings) *upstream.Pool {
	return upstream.NewPool(
		upstream.WithMaxLinks(cfg.Links.PerInstance), upstream.WithIdleLimit(seconds(cfg.Links.IdleSeconds)),
		upstream.WithProgress(seconds(cfg.Links.ProgressSeconds)), upstream.WithSilentLimit(seconds(cfg.Links.SilentSeconds)))
}

func newSettler(client *control.Client) *control.Settler { return control.NewSettler(client) }

func newSuspects(cfg *settings.Settings) *poison.Tracker {
	return poison.NewTracker(poison.WithLossLimit(cfg.Poison.Losses), poison.WithRefusalPeriod(seconds(cfg.Poison.RefusalSeconds)))
}

// callerParts are what the handler of callers is composed from.
type callerParts struct {
	fx.In

	Config    *settings.Settings
	Logger    hclog.Logger
	State     *State
	Table     *rules.Table
	Router    *route.Router
	Links     *upstream.Pool
	Claims    *control.Client
	Settler   *control.Settler
	Suspects  *poison.Tracker
	Book      *backlog.Tracker
	Decisions *decision.Log
	Watch     *control.Watch
	Options   options
}

func (p *callerParts) handler() *caller.Handler {
	limits := p.Config.Limits
	return caller.New(caller.Config{
		Host: p.Config.Host.Name, Zone: p.Config.Host.Zone, Table: p.Table, Router: p.Router, Pool: p.Links,
		Claims: p.Claims, Settler: p.Settler, Suspects: p.Suspects, Budget: p.Router, Backlog: p.Book, Decisions: p.Decisions,
		Stopping: &p.State.draining, Logger: p.Logger.Named("caller"),
		Dialect: p.Options.dialect,
		Limits: caller.Limits{
			BodyBytes: limits.BodyBytes, BufferBytes: limits.BufferBytes, ProgressTimeout: seconds(limits.ProgressSeconds),
			ProgressBytes: limits.ProgressBytes, InFlight: limits.InFlight,
		},
	})
}

func runCallers(lc fx.Lifecycle, parts callerParts) {
	cfg, logger, state := parts.Config, parts.Logger, parts.State
	server := &http.Server{
		Handler: parts.handler(), MaxHeaderBytes: cfg.Limits.HeaderBytes,
		ReadHeaderTimeout: seconds(cfg.Limits.HeaderTimeoutSeconds), IdleTimeout: seconds(cfg.Limits.IdleTimeoutSeconds),
	}
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(startCtx context.Context) error {
			listener, err := link.Listen(startCtx, cfg.Listen.Callers, link.BodyTimeouts)
			if err != nil {
				return errors.Wrap(err, "listen for callers")
			}
			serve(server, caller.LimitListener(listener, cfg.Limits.Links, cfg.Limits.LinksPerCaller), "callers", logger)
			go parts.Links.Run(ctx)
			state.bound.Store(true)
			logger.Info("entry host started", "host", cfg.Host.Name, "callers", cfg.Listen.Callers)
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			defer cancel()
			drain(stopCtx, state, parts.Settler, stopDoors{
				report: parts.Watch.Report,
				refuse: func(ctx context.Context) { _ = server.Shutdown(ctx) }, // its error is that of the stop below
			}, logger)
			return server.Shutdown(stopCtx)
		},
	})
}
