package host

import (
	"context"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/prometheus"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/program"
	"go.uber.org/fx"
)

// Listener is a further listener of an entry host.
type Listener struct {
	Name    string
	Address string
	Handler http.Handler
}

// Option changes how an entry host is composed.
type Option func(*options)

type options struct {
	dialect   *caller.Dialect
	listeners func(state *State) []Listener
	reload    func() *settings.Settings
}

// WithDialect sets how callers and instances say what HTTP does not say.
func WithDialect(d *caller.Dialect) Option { return func(o *options) { o.dialect = d } }

// WithListeners adds listeners that speak another protocol.
func WithListeners(listeners func(state *State) []Listener) Option {
	return func(o *options) { o.listeners = listeners }
}

// WithReload sets how the settings are read again; nil says that nothing
// changed.
func WithReload(reload func() *settings.Settings) Option {
	return func(o *options) { o.reload = reload }
}

// told adds to a report what an answer to a probe tells.
func (o options) told(report *route.ProbeReport, h http.Header) {
	if o.dialect == nil {
		return
	}
	if load, told := o.dialect.Load(h); told {
		report.HasLoad, report.Requests, report.Slowdown = true, load.Requests, load.Speed
	}
}

func runListeners(lc fx.Lifecycle, cfg *settings.Settings, o options, state *State, exporter *prometheus.Exporter, logger hclog.Logger) {
	var all []Listener
	if o.listeners != nil {
		all = o.listeners(state)
	}
	if cfg.Listen.Metrics != "" {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { exporter.Write(w) })
		all = append(all, Listener{Name: "metrics", Address: cfg.Listen.Metrics, Handler: mux})
	}
	for _, one := range all {
		server := &http.Server{Handler: one.Handler, ReadHeaderTimeout: seconds(cfg.Limits.HeaderTimeoutSeconds)}
		lc.Append(fx.Hook{
			OnStart: func(context.Context) error { return listen(server, one.Address, one.Name, logger) },
			OnStop:  server.Shutdown,
		})
	}
}

// runReload takes the control hosts of changed settings; what else changed
// takes effect with the next start.
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
