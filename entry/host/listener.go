package host

import (
	"context"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/prometheus"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/intake"
	"github.com/snipebeam/snipebeam/world/program"
	"go.uber.org/fx"
)

// Listener is an additional HTTP listener of an entry host.
type Listener struct {
	Name    string
	Address string
	Handler http.Handler
}

const metricsPath = "/metrics"

// Option changes one property of an entry host.
type Option func(*options)

type options struct {
	dialect   *caller.Dialect
	listeners func(state *State) []Listener
	reload    func() *settings.Settings
}

// WithDialect sets the header conventions of callers and instances, such as those
// for deadlines and load reports.
func WithDialect(d *caller.Dialect) Option { return func(o *options) { o.dialect = d } }

// WithListeners adds listeners for other protocols.
func WithListeners(listeners func(state *State) []Listener) Option {
	return func(o *options) { o.listeners = listeners }
}

// WithReload sets the function that reads the settings again. It returns nil if
// nothing changed.
func WithReload(reload func() *settings.Settings) Option {
	return func(o *options) { o.reload = reload }
}

// addLoad copies the load in the headers of a probe's response to the report.
func (o options) addLoad(report *route.ProbeReport, h http.Header) {
	if o.dialect == nil {
		return
	}
	report.Warmup = o.dialect.WarmupLeft(h)
	if load, ok := o.dialect.Load(h); ok {
		report.HasLoad, report.Requests, report.Slowdown = true, load.Requests, load.Slowdown
	}
}

func runListeners(lc fx.Lifecycle, cfg *settings.Settings, budget *intake.Budget, o options, state *State, exporter *prometheus.Exporter, logger hclog.Logger) {
	var listeners []Listener
	if o.listeners != nil {
		listeners = o.listeners(state)
	}
	if cfg.Listen.Metrics != "" {
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) { exporter.Write(w) })
		listeners = append(listeners, Listener{Name: "metrics", Address: cfg.Listen.Metrics, Handler: mux})
	}
	for _, l := range listeners {
		server := &http.Server{
			Handler: l.Handler, MaxHeaderBytes: cfg.Limits.HeaderBytes,
			ReadHeaderTimeout: seconds(cfg.Limits.HeaderTimeoutSeconds), IdleTimeout: seconds(cfg.Limits.IdleTimeoutSeconds),
		}
		lc.Append(fx.Hook{
			OnStart: func(context.Context) error {
				return listen(server, l.Address, l.Name, budget, messageIntake(cfg), logger)
			},
			OnStop: shutdown(server),
		})
	}
}

// runReload applies changed addresses of control hosts. Other changed settings
// take effect at the next start.
func runReload(lc fx.Lifecycle, o options, current *controlHosts, logger hclog.Logger) {
	if o.reload == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() {
		go program.WatchSettings(ctx, func() {
			if next := o.reload(); next != nil {
				current.set(next)
				logger.Info("settings read again", "controlHosts", current.Addresses())
			}
		})
	}, cancel))
}
