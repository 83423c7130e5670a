package fleet

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Rates returns the arrivals a second of each service, over all hosts that
// reported lately.
func (f *Fleet) Rates(now time.Time) []*wire.ServiceRate {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := map[string]float64{}
	for name, report := range f.reports {
		if now.Sub(f.heard[name]) <= SilentAfter {
			addRates(total, report)
		}
	}
	rates := make([]*wire.ServiceRate, 0, len(total))
	for service, rate := range total {
		rates = append(rates, &wire.ServiceRate{Service: service, ArrivalsPerS: rate})
	}
	return rates
}

func addRates(total map[string]float64, report *wire.HostReport) {
	for _, line := range report.GetBacklog() {
		if line.GetInstance() == "" && line.GetArrivalsPerS() > 0 {
			total[line.GetService()] += line.GetArrivalsPerS()
		}
	}
}
