package fleet

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Rates returns the arrival rate and the body bytes per second of each service,
// summed over all hosts that are not silent.
func (f *Fleet) Rates(now time.Time) []*wire.ServiceRate {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := map[string]*wire.ServiceRate{}
	for name, report := range f.reports {
		if now.Sub(f.lastSeen[name]) <= SilentAfter {
			addRates(total, report)
		}
	}
	rates := make([]*wire.ServiceRate, 0, len(total))
	for _, rate := range total {
		rates = append(rates, rate)
	}
	return rates
}

func addRates(total map[string]*wire.ServiceRate, report *wire.HostReport) {
	for _, line := range report.GetBacklog() {
		if line.GetInstance() != "" || line.GetArrivalsPerS() <= 0 {
			continue
		}
		rate := total[line.GetService()]
		if rate == nil {
			rate = &wire.ServiceRate{Service: line.GetService()}
			total[line.GetService()] = rate
		}
		rate.ArrivalsPerS += line.GetArrivalsPerS()
		rate.BytesPerS += line.GetBytesPerS()
		rate.BulkBytesPerS += line.GetBulkBytesPerS()
	}
}
