package placement

import (
	"sync/atomic"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Rates holds the requests that arrive a second for each service at all entry hosts
// together, as last received from a control host.
type Rates struct {
	current atomic.Pointer[map[string]float64]
}

// NewRates returns rates that are 0 for every service.
func NewRates() *Rates { return &Rates{} }

// Store replaces the rates of all services.
func (r *Rates) Store(rates []*wire.ServiceRate) {
	next := make(map[string]float64, len(rates))
	for _, one := range rates {
		next[one.GetService()] = one.GetArrivalsPerS()
	}
	r.current.Store(&next)
}

// ArrivalRate returns the requests that arrive a second for a service, 0 if
// unknown.
func (r *Rates) ArrivalRate(service string) float64 {
	current := r.current.Load()
	if current == nil {
		return 0
	}
	return (*current)[service]
}
