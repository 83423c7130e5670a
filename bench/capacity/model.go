package capacity

import (
	"math"
	"strings"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/gossip"
)

// Target size: the load expected in two years.
const (
	instances     = 3900
	services      = 140
	callsPerS     = 1_000_000
	zones         = 19
	changesPerDay = 14_000
	controlHosts  = 5
	secondsPerDay = 86_400
)

// Control-plane budgets of a host.
const (
	budgetBytesPerS   = 8192
	budgetCorePercent = 1.5
	budgetMemoryMB    = 256
)

// Planning assumptions, the inputs of the model beside the figures.
const (
	// headroomShare is the spare capacity of entry hosts on top of what the loss
	// of a zone needs.
	headroomShare = 0.3
	// atMostOnceShare is the share of calls that carry an idempotency key and
	// therefore need a claim.
	atMostOnceShare = 0.02
	// hostsPerResponse is the number of entry hosts in an address response for a
	// service.
	hostsPerResponse = 3
	// linesPerService is the number of lines of a rules file for each service.
	linesPerService = 5
	// scrapeInterval is the interval of metrics scrapes, in seconds.
	scrapeInterval = 15
	// pollInterval is the interval at which an entry host polls a control host
	// while nothing changes, in seconds.
	pollInterval = 3
	megabyte     = 1e6
	percent      = 100
	nsPerSecond  = 1e9
	claimWindowS = secondsPerDay
)

// Row is the cost of one mechanism of one role. NaN stands for a cost that does
// not apply.
type Row struct {
	Role, Mechanism string
	BytesPerS       float64
	CorePercent     float64
	MemoryMB        float64
	Sources         string // names of the figures that it is computed from
	Note            string // what would bring it within the budget, where it exceeds it
	DataPlane       bool   // grows with calls, so the control-plane budget does not apply
}

// notApplicable marks a cost that does not apply or is negligible.
var notApplicable = math.NaN()

// EntryHosts returns the number of entry hosts that can serve all calls after
// the loss of a zone.
func EntryHosts(m *Measurements) int {
	perHost := m.value("requestsPerSecond4Threads")
	needed := float64(callsPerS) / perHost * (1 + headroomShare)
	return int(math.Ceil(needed * zones / (zones - 1)))
}

// Rows computes all rows, with a total for each role.
func Rows(m *Measurements) ([]Row, error) {
	hosts := float64(EntryHosts(m))
	entries, controls := entryRows(m, hosts), controlRows(m, hosts)
	rows := append(entries, total(entries))
	rows = append(rows, controls...)
	rows = append(rows, total(controls))
	if len(m.missing) > 0 {
		return nil, errors.Errorf("missing measurements: %s", strings.Join(m.missing, ", "))
	}
	return rows, nil
}

// total sums the rows that count against the control-plane budget.
func total(rows []Row) Row {
	sum := Row{Role: rows[0].Role, Mechanism: "**all of it but the work itself**"}
	for _, r := range rows {
		if !r.DataPlane {
			sum.BytesPerS += zeroIfNone(r.BytesPerS)
			sum.CorePercent += zeroIfNone(r.CorePercent)
			sum.MemoryMB += zeroIfNone(r.MemoryMB)
		}
	}
	return sum
}

func zeroIfNone(cost float64) float64 {
	if math.IsNaN(cost) {
		return 0
	}
	return cost
}

// measuredHosts is the number of entry hosts in the fleet that the per-instance
// slopes come from. Each instance announces itself to one of them, so the cost
// of one announcement on its host is the mean slope times this number.
const measuredHosts = 29

func entryRows(m *Measurements, hosts float64) []Row {
	const entry = "entry host"
	announcing := instances / hosts
	served := services * hostsPerResponse / hosts
	callsPerHost := callsPerS / hosts
	return []Row{
		{
			Role: entry, Mechanism: "announcements heard, one a second each", Sources: "bytesPerSecondPer1000Instances, corePercentPer1000Instances",
			BytesPerS: m.value("bytesPerSecondPer1000Instances") / 1000 * measuredHosts * announcing, CorePercent: m.value("corePercentPer1000Instances") / 1000 * measuredHosts * announcing, MemoryMB: notApplicable,
			Note: "leases that grow with the instances that a host hears",
		},
		{
			Role: entry, Mechanism: "membership of hosts and instances (gossip)", Sources: "the bound of what a host sends, and as much received; membershipCoreNsPerSecondPerInstance, membershipHeapBytesPerInstance",
			BytesPerS: 2 * gossip.DefaultRate, CorePercent: m.fitAt("membershipCoreNsPerSecondPerInstance", instances) / nsPerSecond * percent,
			MemoryMB: m.fitAt("membershipHeapBytesPerInstance", instances) / megabyte, Note: "a heap of lease ends instead of a walk over all instances",
		},
		{
			Role: entry, Mechanism: "views of instances", Sources: "registryBytesPerInstance",
			BytesPerS: notApplicable, CorePercent: notApplicable, MemoryMB: m.fitAt("registryBytesPerInstance", instances) / megabyte,
		},
		{
			Role: entry, Mechanism: "rules: changes of a day, line differences", Sources: "bytesPerSecondPer100000Changes, corePercentPer100000Changes, rulesBytesPerLine",
			BytesPerS: m.value("bytesPerSecondPer100000Changes") / 100_000 * changesPerDay, CorePercent: m.value("corePercentPer100000Changes") / 100_000 * changesPerDay,
			MemoryMB: m.fitAt("rulesBytesPerLine", services*linesPerService) / megabyte,
		},
		{
			Role: entry, Mechanism: "reports to every control host", Sources: "reportBytesPerService",
			BytesPerS: m.fitAt("reportBytesPerService", served) * controlHosts / pollInterval, CorePercent: notApplicable, MemoryMB: notApplicable,
		},
		{
			Role: entry, Mechanism: "scrapes of metrics", Sources: "scrapeBytesPerInstance",
			BytesPerS: m.fitAt("scrapeBytesPerInstance", instances) / scrapeInterval, CorePercent: notApplicable, MemoryMB: notApplicable,
			Note: "series of those instances only whose service the host serves",
		},
		{
			Role: entry, Mechanism: "choosing, a call among the instances of a service", Sources: "chooseNsPerInstance",
			BytesPerS: notApplicable, CorePercent: m.fitAt("chooseNsPerInstance", instances/services) * callsPerHost / nsPerSecond * percent, MemoryMB: notApplicable, DataPlane: true,
		},
		{
			Role: entry, Mechanism: "decision log, a line a call", Sources: "decisionBytesPerCandidate, decisionCoreNsPerCandidate",
			BytesPerS: m.fitAt("decisionBytesPerCandidate", instances/services) * callsPerHost, CorePercent: m.fitAt("decisionCoreNsPerCandidate", instances/services) * callsPerHost / nsPerSecond * percent,
			MemoryMB: notApplicable, DataPlane: true, Note: "written to the host's own log, not to the network",
		},
	}
}

func controlRows(m *Measurements, hosts float64) []Row {
	const control = "control host"
	served := services * hostsPerResponse / hosts
	claims := callsPerS * atMostOnceShare
	return []Row{
		{
			Role: control, Mechanism: "polls and reports of entry hosts", Sources: "reportBytesPerService, controlHostCorePercent",
			BytesPerS: m.fitAt("reportBytesPerService", served) * hosts / pollInterval, CorePercent: m.value("controlHostCorePercent") / measuredHosts * hosts, MemoryMB: notApplicable,
			Note: "reports through a tree of a few entry hosts for each zone; longer polls",
		},
		{
			Role: control, Mechanism: "the process, with 1,000 versions and 100,000 live claims", Sources: "controlHostResidentMB",
			BytesPerS: notApplicable, CorePercent: notApplicable, MemoryMB: m.value("controlHostResidentMB"),
		},
		{
			Role: control, Mechanism: "claims: one group, held for a day", Sources: "claimBytesPerClaim, claimApplyNsPerClaim",
			BytesPerS: notApplicable, CorePercent: m.slopeTimes("claimApplyNsPerClaim", claims) / nsPerSecond * percent, MemoryMB: m.slopeTimes("claimBytesPerClaim", claims*claimWindowS) / megabyte, DataPlane: true,
			Note: "many groups, sharded by key, on entry hosts with a disk; completed claims kept on disk; a shorter window",
		},
	}
}
