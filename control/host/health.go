package host

import (
	"net/http"

	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/prometheus"
)

// handleHealth registers the liveness probe, the readiness probe, which fails
// without a quorum, and the metrics endpoint.
func handleHealth(mux *http.ServeMux, log agreement.Log, exporter *prometheus.Exporter) {
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !log.Status().Quorum() {
			http.Error(w, "no quorum", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.Handle("GET "+metricsPath, exporter)
}
