package peer

import "github.com/VictoriaMetrics/metrics"

// Byte counters include IP and UDP headers.
var (
	sentBytes     = metrics.NewCounter(`snipebeam_gossip_sent_bytes_total`)
	receivedBytes = metrics.NewCounter(`snipebeam_gossip_received_bytes_total`)
	refused       = metrics.NewCounter(`snipebeam_gossip_refused_total`)
)

// exportSizes registers gauges of the hosts and instances that this host considers
// alive.
func (n *Node) exportSizes() {
	metrics.GetOrCreateGauge(`snipebeam_hosts`, func() float64 { return float64(len(n.Entries())) })
	metrics.GetOrCreateGauge(`snipebeam_instances`, func() float64 { return float64(n.cfg.Registry.Len()) })
}
