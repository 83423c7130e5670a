package fleet

import "github.com/snipebeam/snipebeam/world/wire"

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
