package rules_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/wire"
)

func TestVersionNeverDecreases(t *testing.T) {
	table := rules.NewTable()
	start := time.Unix(1000, 0)
	advance := func(n uint64) bool {
		changed, err := table.Advance(&wire.Version{Number: n}, "route a # w: y")
		must.NoError(t, err)
		return changed
	}
	must.True(t, advance(3))
	must.False(t, advance(2))
	must.False(t, advance(3))
	must.Eq(t, 3, table.Current().Number())
	must.False(t, table.Confirmed())
	table.Confirm(2, start)
	must.False(t, table.Confirmed())
	table.Confirm(3, start)
	must.True(t, table.Confirmed())
	table.Confirm(3, start.Add(-time.Second))
	must.Eq(t, start, table.ConfirmedAt())
	must.Eq(t, start.UnixNano(), table.ConfirmedNano())
}
