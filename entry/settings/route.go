package settings

import (
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/setting"
)

// Route says how instances are chosen.
type Route struct {
	Policy string `toml:"policy" comment:"policy for services whose rules name none: adaptive, least, peakEWMA, powerOfTwo, random or roundRobin"`
}

func defaultRoute() Route { return Route{Policy: contract.PolicyLeast} }

func (r Route) check(c *setting.Checker) {
	c.OneOf("route.policy", r.Policy, contract.PolicyNames()...)
}
