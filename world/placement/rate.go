package placement

import (
	"sync/atomic"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Rates holds the arrivals a second of each service over all entry hosts, as
// the control hosts last told them.
type Rates struct {
	current atomic.Pointer[map[string]float64]
}

// NewRates returns rates of zero.
func NewRates() *Rates { return &Rates{} }

// Store replaces the rates.
func (r *Rates) Store(rates []*wire.ServiceRate) {
	next := make(map[string]float64, len(rates))
	for _, one := range rates {
		next[one.GetService()] = one.GetArrivalsPerS()
	}
	r.current.Store(&next)
}

// ArrivalRate returns the arrivals a second of a service, 0 if unknown.
func (r *Rates) ArrivalRate(service string) float64 {
	current := r.current.Load()
	if current == nil {
		return 0
	}
	return (*current)[service]
}
