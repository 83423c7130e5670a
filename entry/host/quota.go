package host

import (
	"context"
	"time"

	"github.com/snipebeam/snipebeam/entry/quota"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/steady"
	"go.uber.org/fx"
)

// newReserve returns the reserve of requests of organisations with a limit. Its calls begin
// with the time, so that those of a former process of this host count as earlier.
func newReserve(cfg *settings.Settings, grants *grants, table *rules.Table) *quota.Reserve {
	terms := func(name string) *contract.Organisation { return table.Current().Set().Organisation(name) }
	ledger := quota.NewLedger(cfg.Host.Name, uint64(time.Now().UnixNano()), steady.New().Now, terms)
	return quota.New(ledger, grants.quota.GrantOrganisations)
}

func runReserve(lc fx.Lifecycle, reserve *quota.Reserve) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() { go reserve.Run(ctx) }, cancel))
}
