package host

import (
	"context"

	"github.com/google/uuid"
	"github.com/snipebeam/snipebeam/entry/quota"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/steady"
	"go.uber.org/fx"
)

// newReserve returns the reserve of requests of organisations with a limit. To the leader, this
// process is another one than former ones of the host, also if the time of day was set back.
func newReserve(cfg *settings.Settings, grants *grants, table *rules.Table) *quota.Reserve {
	terms := func(name string) *contract.Organisation { return table.Current().Set().Organisation(name) }
	ledger := quota.NewLedger(cfg.Host.Name+"/"+uuid.NewString(), steady.New().Now, terms)
	return quota.New(ledger, grants.quota.GrantOrganisations)
}

func runReserve(lc fx.Lifecycle, reserve *quota.Reserve) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() { go reserve.Run(ctx) }, cancel))
}
