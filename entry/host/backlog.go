package host

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/instance"
	"go.uber.org/fx"
)

// runBacklog monitors the backlog of every service on this host.
func runBacklog(lc fx.Lifecycle, tracker *backlog.Tracker, table *rules.Table, views *route.Views, logger hclog.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	monitor := backlog.NewMonitor(tracker, func(service string) backlog.AlarmConfig {
		return alarmConfig(service, table.Current(), views.Load(service))
	}, logger)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go monitor.Run(ctx)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// alarmConfig returns the owner of a service and the limits of its backlog, from
// the rules in force and the slots of the instances in the view.
func alarmConfig(service string, inForce *rules.InForce, view *route.View) backlog.AlarmConfig {
	terms := inForce.Set().Terms(service)
	cfg := backlog.AlarmConfig{
		Owner:  terms.Owner(),
		Limits: backlog.Limits{Count: terms.BacklogCount(), Age: terms.BacklogAge()},
		Slots:  func(instance.ID) int { return instance.DefaultSlots },
	}
	if declared := inForce.Set().Service(service); declared != nil {
		cfg.Reason = declared.Reason().Why()
	}
	if view == nil {
		return cfg
	}
	for _, m := range view.Members() {
		cfg.Limits.Slots += m.Instance().Slots()
	}
	cfg.Slots = func(id instance.ID) int { return slotsOf(view, id) }
	return cfg
}

func slotsOf(view *route.View, id instance.ID) int {
	for _, m := range view.Members() {
		if m.Instance().ID() == id {
			return m.Instance().Slots()
		}
	}
	return instance.DefaultSlots
}
