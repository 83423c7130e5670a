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

// runBacklog watches the backlog of every service of this host.
func runBacklog(lc fx.Lifecycle, book *backlog.Tracker, table *rules.Table, views *route.Views, logger hclog.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	watch := backlog.NewMonitor(book, func(service string) backlog.AlarmConfig {
		return alarmConfig(service, table.Current(), views.Load(service))
	}, logger)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go watch.Run(ctx)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// alarmConfig tells whose a service's backlog is and what it is held against.
func alarmConfig(service string, inForce *rules.InForce, view *route.View) backlog.AlarmConfig {
	terms := inForce.Set().Terms(service)
	found := backlog.AlarmConfig{
		Owner:  terms.Owner(),
		Limits: backlog.Limits{Count: terms.BacklogCount(), Age: terms.BacklogAge()},
		Slots:  func(instance.ID) int { return instance.DefaultSlots },
	}
	if line := inForce.Set().Service(service); line != nil {
		found.Reason = line.Reason().Why()
	}
	if view == nil {
		return found
	}
	for _, m := range view.Members() {
		found.Limits.Slots += m.Instance().Slots()
	}
	found.Slots = func(id instance.ID) int { return slotsOf(view, id) }
	return found
}

func slotsOf(view *route.View, id instance.ID) int {
	for _, m := range view.Members() {
		if m.Instance().ID() == id {
			return m.Instance().Slots()
		}
	}
	return instance.DefaultSlots
}
