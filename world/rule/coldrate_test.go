package rule_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/rule"
)

func TestColdRateOfAService(t *testing.T) {
	set, findings := rule.Parse("rules", "service shop: coldRate 1.6/s # M. Roy: caches are empty at first\nroute shop: deadline 1s # M. Roy: all\n")
	must.NoError(t, findings.Err())
	must.Eq(t, 1.6, set.Terms("shop").ColdRate())
	must.Zero(t, set.Terms("other").ColdRate())
}

// A rate that is no number limits nothing, or everything.
func TestRatesThatAreNoRateAreRejected(t *testing.T) {
	for _, value := range []string{"", "1.6", "0/s", "-1/s", "NaN/s", "Inf/s", "1e999/s", "x/s", "1/s 2/s"} {
		_, findings := rule.Parse("rules", "service shop: coldRate "+value+" # M. Roy: caches\nroute shop: deadline 1s # M. Roy: all\n")
		must.Error(t, findings.Err(), must.Sprint(value))
	}
}
