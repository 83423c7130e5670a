package host

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/isolation"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"go.uber.org/fx"
)

func newDetector(pool *upstream.Pool, views *route.Views, logger hclog.Logger) *isolation.Detector {
	return isolation.New(pool.CanConnect, views, isolation.WithChanged(func(isolated bool) {
		if isolated {
			logger.Warn("this host reaches no instance")
		} else {
			logger.Info("this host reaches instances again")
		}
	}))
}

func runIsolation(lc fx.Lifecycle, detector *isolation.Detector) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() { go detector.Run(ctx) }, cancel))
}
