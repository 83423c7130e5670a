package host

import (
	"context"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/directory"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/operator"
	"github.com/snipebeam/snipebeam/control/prometheus"
	"github.com/snipebeam/snipebeam/control/settings"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/control/upstream"
	"github.com/snipebeam/snipebeam/world/intake"
	"github.com/snipebeam/snipebeam/world/link"
	"go.uber.org/fx"
)

// Services are the services that a control host offers to callers, instances
// and operators. Listeners for other protocols are built on them.
type Services struct {
	fx.In

	Rules       *operator.Rules
	Evacuations *operator.Evacuations
	Instances   *upstream.Instances
	Directory   *directory.Directory
	Logger      hclog.Logger
}

// Listener is an additional listener of a control host.
type Listener struct {
	Name    string
	Address string
	Handler http.Handler
}

const metricsPath = "/metrics"

// Option configures a control host.
type Option func(*options)

type options struct {
	listeners func(s Services) []Listener
	reload    func() *settings.Settings
}

// WithListeners adds listeners for other protocols.
func WithListeners(listeners func(s Services) []Listener) Option {
	return func(o *options) { o.listeners = listeners }
}

// WithReload sets the function that reloads the settings when their file
// changes. It returns nil if there is nothing to apply.
func WithReload(reload func() *settings.Settings) Option {
	return func(o *options) { o.reload = reload }
}

func newInstances(cfg *settings.Settings, log agreement.Log, machine *state.Machine, dir *directory.Directory, logger hclog.Logger) *upstream.Instances {
	return upstream.New(cfg.Host.Name, log, machine, logger, upstream.WithTerms(dir.Terms), upstream.WithNamed(dir.Names))
}

func newDirectory(cfg *settings.Settings, machine *state.Machine, hosts *fleet.Fleet) *directory.Directory {
	return directory.New(machine, hosts, directory.WithHostRate(cfg.Directory.HostRate), directory.WithMinHosts(cfg.Directory.LeastHosts))
}

func runInstances(lc fx.Lifecycle, instances *upstream.Instances) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() { go instances.Run(ctx) }, cancel))
}

func runListeners(lc fx.Lifecycle, cfg *settings.Settings, o options, services Services, servers *servers, exporter *prometheus.Exporter, budget *intake.Budget) {
	var all []Listener
	if o.listeners != nil {
		all = o.listeners(services)
	}
	if cfg.Listen.Metrics != "" {
		mux := http.NewServeMux()
		mux.Handle("GET "+metricsPath, exporter)
		all = append(all, Listener{Name: "metrics", Address: cfg.Listen.Metrics, Handler: mux})
	}
	for _, l := range all {
		server := servers.listener(l.Handler)
		lc.Append(fx.Hook{
			OnStart: func(ctx context.Context) error {
				listener, err := link.Listen(ctx, l.Address, link.MessageTimeouts)
				if err != nil {
					return errors.Wrapf(err, "listen for %s", l.Name)
				}
				go serve(server, intake.Protect(server, listener, budget, messageIntake(cfg)), services.Logger)
				return nil
			},
			OnStop: func(ctx context.Context) error { return shutdownSoon(ctx, server) },
		})
	}
}
