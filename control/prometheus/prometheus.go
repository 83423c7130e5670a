// Package prometheus exports a control host's metrics in the Prometheus text
// format.
//
// Usage:
//
//	exporter := prometheus.New(log, machine, hosts)
//	mux.Handle("GET /metrics", exporter)
package prometheus

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Exporter exports a control host's metrics.
type Exporter struct {
	log     agreement.Log
	machine *state.Machine
	hosts   *fleet.Fleet
}

// New returns an exporter.
func New(log agreement.Log, machine *state.Machine, hosts *fleet.Fleet) *Exporter {
	return &Exporter{log: log, machine: machine, hosts: hosts}
}

// ServeHTTP serves a scrape.
func (e *Exporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) { e.Write(w) }

// Write writes all metrics: those of this host, those registered by packages,
// and those of the process.
func (e *Exporter) Write(w io.Writer) {
	status := e.log.Status()
	metrics.WriteGaugeUint64(w, "snipebeam_quorum", boolValue(status.Quorum()))
	metrics.WriteGaugeUint64(w, "snipebeam_term", status.Term())
	metrics.WriteCounterUint64(w, "snipebeam_commit_index", status.CommitIndex())
	version, _ := e.machine.InForce()
	metrics.WriteGaugeUint64(w, "snipebeam_rules_version", version.GetNumber())
	zones, _ := e.machine.EvacuatedZones()
	metrics.WriteGaugeUint64(w, "snipebeam_evacuated_zones", uint64(len(zones)))
	held, unknown := e.machine.CountClaims()
	metrics.WriteGaugeUint64(w, `snipebeam_claims{state="held"}`, uint64(held))
	metrics.WriteGaugeUint64(w, `snipebeam_claims{state="unknown"}`, uint64(unknown))
	for _, m := range status.Members() {
		writeMember(w, m)
	}
	e.writeHosts(w, version.GetNumber())
	metrics.WritePrometheus(w, true)
}

func writeMember(w io.Writer, m *wire.Member) {
	label := fmt.Sprintf(`{member=%q,role=%q}`, m.GetName(), m.GetRole())
	metrics.WriteGaugeUint64(w, "snipebeam_member_reachable"+label, boolValue(m.GetReachable()))
	metrics.WriteGaugeUint64(w, "snipebeam_member_match_index"+label, m.GetMatchIndex())
}

// writeHosts writes the number of hosts by state, and the number of hosts that
// report an older version than the one in force.
func (e *Exporter) writeHosts(w io.Writer, version uint64) {
	byState := map[string]uint64{}
	behind := uint64(0)
	for _, host := range e.hosts.Hosts(time.Now()) {
		byState[host.GetState()]++
		if host.GetState() != fleet.StateSilent && host.GetVersion() < version {
			behind++
		}
	}
	for state, n := range byState {
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`snipebeam_hosts{state=%q}`, state), n)
	}
	metrics.WriteGaugeUint64(w, "snipebeam_hosts_behind", behind)
}

func boolValue(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}
