package host

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/control/settings"
	"github.com/snipebeam/snipebeam/world/program"
	"go.uber.org/fx"
)

// runReload applies the seeds of changed settings. All other changes take
// effect at the next start.
func runReload(lc fx.Lifecycle, cfg *settings.Settings, o options, current *seeds, logger hclog.Logger) {
	if o.reload == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() {
		go program.WatchSettings(ctx, func() {
			next := o.reload()
			if next == nil {
				return
			}
			current.set(next)
			logger.Info("settings read again", "host", cfg.Host.Name, "seeds", current.Seeds())
		})
	}, cancel))
}
