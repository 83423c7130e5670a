package host

import (
	"context"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/control/peer"
	"github.com/snipebeam/snipebeam/control/settings"
	"go.uber.org/fx"
)

// heldShare is the share of the stop limit during which requests in progress may
// end by themselves. The rest is for the replica and for a slow machine.
const heldShare = 0.5

// stopLimit returns the maximum duration of a planned stop.
func stopLimit(cfg *settings.Settings) time.Duration {
	return time.Duration(cfg.Host.StopLimitSeconds * float64(time.Second))
}

// runStop must be invoked last, so that its hook is the first of a planned stop.
// The leadership and the vote are handed over while the listeners are closed, so
// that neither waits for a request in progress. The replica and the peers listener
// still run, which these requests need.
func runStop(lc fx.Lifecycle, cfg *settings.Settings, all *servers, node *peer.Node) {
	lc.Append(fx.StopHook(func(ctx context.Context) {
		held, cancel := context.WithTimeout(ctx, time.Duration(heldShare*float64(stopLimit(cfg))))
		defer cancel()
		var group sync.WaitGroup
		all.count(1) // the transfer needs the requests of the other control hosts
		group.Go(func() {
			defer all.count(-1)
			node.Leave(held)
		})
		all.stop(held)
		group.Wait()
	}))
}
