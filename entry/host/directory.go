package host

import (
	"strings"

	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

// directory implements dns.Directory on the rules in force and the entry hosts
// in the current membership.
type directory struct {
	zone     string
	hostRate float64 // requests per second of one service that one entry host accepts
	rates    *placement.Rates
	table    *rules.Table
	entries  func() []*wire.HostReport
}

// Ready reports whether a quorum has confirmed the rules of this host.
func (d *directory) Ready() bool { return d.table.Confirmed() }

// Service returns the hosts that serve a service, and false if no rule names it.
func (d *directory) Service(name string) (placement.Selection, bool) {
	set := d.table.Current().Set()
	if !set.HasService(name) {
		return placement.Selection{}, false
	}
	plan := placement.Plan{Spread: set.Terms(name).Spread(), HostRate: d.hostRate, Rate: d.rates.ArrivalRate(name)}
	return placement.Choose(d.entries(), name, d.zone, plan), true
}

// share returns this host's fraction of a service's limits. The limits are for
// all active hosts together.
func (d *directory) share(service string) float64 {
	if d.hostRate == 0 {
		return 1
	}
	return 1 / float64(placement.ActiveCount(d.rates.ArrivalRate(service), d.hostRate))
}

// Host returns an entry host by its name, or nil.
func (d *directory) Host(name string) *wire.HostReport {
	for _, host := range d.entries() {
		if strings.EqualFold(host.GetName(), name) {
			return host
		}
	}
	return nil
}
