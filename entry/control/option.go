package control

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// WatchOption changes one property of a watch.
type WatchOption func(*Watch)

// WithRates calls rates with the services' rates from each response.
func WithRates(rates func(rates []*wire.ServiceRate)) WatchOption {
	return func(w *Watch) { w.rates = rates }
}

// WithRestore calls restore once, with the last report of this host before its
// restart.
func WithRestore(restore func(previous *wire.HostReport)) WatchOption {
	return func(w *Watch) { w.restore = restore }
}

// WithRateLimits calls apply with the rate limits of instances that other entry hosts
// heard.
func WithRateLimits(apply func(limits []*wire.RateLimit)) WatchOption {
	return func(w *Watch) { w.rateLimits = apply }
}

// WithAdmissions calls apply with the parts of the demand to admit, from each response that
// has some, and their greatest possible age.
func WithAdmissions(apply func(admissions []*wire.Admission, age time.Duration)) WatchOption {
	return func(w *Watch) { w.admissions = apply }
}

// WithRelays calls store with the addresses of other entry hosts to which requests can be
// relayed.
func WithRelays(store func(addresses []string)) WatchOption {
	return func(w *Watch) { w.relays = store }
}

// WithIsolations calls isolated when other entry hosts report that they reach no instance.
func WithIsolations(isolated func()) WatchOption {
	return func(w *Watch) { w.isolated = isolated }
}

// Membership receives updates of instances and suspects from the control hosts.
type Membership interface {
	// Revision returns the revision up to which instance records have been applied.
	Revision() uint64
	// Apply applies instance records, oldest first, up to a revision.
	Apply(instances []*wire.Instance, revision uint64)
	// EvacuationsRevision returns the revision of the evacuated zones that were applied.
	EvacuationsRevision() uint64
	// ApplyEvacuations sets the evacuated zones, unless the revision is not newer.
	ApplyEvacuations(zones []string, revision uint64)
	// AddSuspects adds fingerprints of requests suspected of crashing instances.
	AddSuspects(suspects []*wire.Suspect)
	// SetActiveHosts sets the number of entry hosts that serve the same name.
	SetActiveHosts(hosts int)
}

// WithMembership feeds a membership with the instances and suspects that the
// primary control host sends.
func WithMembership(m Membership) WatchOption { return func(w *Watch) { w.members = m } }
