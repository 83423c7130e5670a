package capacity

import (
	"math"
	"strings"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/gossip"
)

// The size of two years from now, as the users name it.
const (
	instances     = 3900
	services      = 140
	callsPerS     = 1_000_000
	zones         = 19
	changesPerDay = 14_000
	controlHosts  = 5
	secondsPerDay = 86_400
)

// Budgets of a host for control.
const (
	budgetBytesPerS   = 8192
	budgetCorePercent = 1.5
	budgetMemoryMB    = 256
)

// Estimates: nothing measured gives them.
const (
	// spareShare is kept free on entry hosts beside the loss of a zone.
	spareShare = 0.3
	// onceShare is the share of calls that must run at most once.
	onceShare = 0.02
	// namedHosts is how many entry hosts an address answer names for a service.
	namedHosts = 3
	// linesPerService is how many lines of a rules file a service has.
	linesPerService = 5
	// scrapeInterval is the time between two scrapes, seconds.
	scrapeInterval = 15
	// watchInterval is the time between two polls of a control host by an
	// entry host while nothing changes, seconds.
	watchInterval = 3
	megabyte      = 1e6
	percent       = 100
	perSecond     = 1e9 // nanoseconds
	claimWindowS  = secondsPerDay
)

// Row is one mechanism of one role. A cost that is NaN does not apply.
type Row struct {
	Role, Mechanism string
	BytesPerS       float64
	CorePercent     float64
	MemoryMB        float64
	Sources         string // figures that it was worked out from
	Note            string // what would carry it, where it is over the budget
	DataPlane       bool   // grows with calls, so that the control budget does not bind it
}

// none marks a cost that does not apply or is too small to show.
var none = math.NaN()

// EntryHosts returns how many entry hosts carry the calls with a zone lost.
func EntryHosts(m *Measurements) int {
	perHost := m.value("requestsPerSecond4Threads")
	needed := float64(callsPerS) / perHost * (1 + spareShare)
	return int(math.Ceil(needed * zones / (zones - 1)))
}

// Rows works out every row.
func Rows(m *Measurements) ([]Row, error) {
	hosts := float64(EntryHosts(m))
	entries, controls := entryRows(m, hosts), controlRows(m, hosts)
	rows := append(entries, total(entries))
	rows = append(rows, controls...)
	rows = append(rows, total(controls))
	if len(m.missing) > 0 {
		return nil, errors.Errorf("no measurement of %s", strings.Join(m.missing, ", "))
	}
	return rows, nil
}

// total adds up what the budget for control binds.
func total(rows []Row) Row {
	sum := Row{Role: rows[0].Role, Mechanism: "**all of it but the work itself**"}
	for _, r := range rows {
		if !r.DataPlane {
			sum.BytesPerS += known(r.BytesPerS)
			sum.CorePercent += known(r.CorePercent)
			sum.MemoryMB += known(r.MemoryMB)
		}
	}
	return sum
}

func known(cost float64) float64 {
	if math.IsNaN(cost) {
		return 0
	}
	return cost
}

// todayHosts is how many entry hosts the slope by instances was measured on.
const todayHosts = 29

func entryRows(m *Measurements, hosts float64) []Row {
	const entry = "entry host"
	heard := instances / hosts
	served := services * namedHosts / hosts
	callsPerHost := callsPerS / hosts
	return []Row{
		{
			Role: entry, Mechanism: "announcements heard, one a second each", Sources: "bytesPerSecondPer1000Instances, corePercentPer1000Instances",
			BytesPerS: m.value("bytesPerSecondPer1000Instances") / 1000 * todayHosts * heard, CorePercent: m.value("corePercentPer1000Instances") / 1000 * todayHosts * heard, MemoryMB: none,
			Note: "leases that grow with the instances that a host hears",
		},
		{
			Role: entry, Mechanism: "membership of hosts and instances (gossip)", Sources: "the bound of what a host sends, and as much received; membershipCoreNsPerSecondPerInstance, membershipHeapBytesPerInstance",
			BytesPerS: 2 * gossip.DefaultRate, CorePercent: m.at("membershipCoreNsPerSecondPerInstance", instances) / perSecond * percent,
			MemoryMB: m.at("membershipHeapBytesPerInstance", instances) / megabyte, Note: "a heap of lease ends instead of a walk over all instances",
		},
		{
			Role: entry, Mechanism: "views of instances", Sources: "registryBytesPerInstance",
			BytesPerS: none, CorePercent: none, MemoryMB: m.at("registryBytesPerInstance", instances) / megabyte,
		},
		{
			Role: entry, Mechanism: "rules: changes of a day, line differences", Sources: "bytesPerSecondPer100000Changes, corePercentPer100000Changes, rulesBytesPerLine",
			BytesPerS: m.value("bytesPerSecondPer100000Changes") / 100_000 * changesPerDay, CorePercent: m.value("corePercentPer100000Changes") / 100_000 * changesPerDay,
			MemoryMB: m.at("rulesBytesPerLine", services*linesPerService) / megabyte,
		},
		{
			Role: entry, Mechanism: "reports to every control host", Sources: "reportBytesPerService",
			BytesPerS: m.at("reportBytesPerService", served) * controlHosts / watchInterval, CorePercent: none, MemoryMB: none,
		},
		{
			Role: entry, Mechanism: "scrapes of metrics", Sources: "scrapeBytesPerInstance",
			BytesPerS: m.at("scrapeBytesPerInstance", instances) / scrapeInterval, CorePercent: none, MemoryMB: none,
			Note: "series of those instances only whose service the host serves",
		},
		{
			Role: entry, Mechanism: "choosing, a call among the instances of a service", Sources: "chooseNsPerInstance",
			BytesPerS: none, CorePercent: m.at("chooseNsPerInstance", instances/services) * callsPerHost / perSecond * percent, MemoryMB: none, DataPlane: true,
		},
		{
			Role: entry, Mechanism: "decision log, a line a call", Sources: "decisionBytesPerCandidate, decisionCoreNsPerCandidate",
			BytesPerS: m.at("decisionBytesPerCandidate", instances/services) * callsPerHost, CorePercent: m.at("decisionCoreNsPerCandidate", instances/services) * callsPerHost / perSecond * percent,
			MemoryMB: none, DataPlane: true, Note: "written to the host's own log, not to the network",
		},
	}
}

func controlRows(m *Measurements, hosts float64) []Row {
	const control = "control host"
	served := services * namedHosts / hosts
	claims := callsPerS * onceShare
	return []Row{
		{
			Role: control, Mechanism: "polls and reports of entry hosts", Sources: "reportBytesPerService, controlHostCorePercent",
			BytesPerS: m.at("reportBytesPerService", served) * hosts / watchInterval, CorePercent: m.value("controlHostCorePercent") / todayHosts * hosts, MemoryMB: none,
			Note: "reports through a tree of a few entry hosts for each zone; longer polls",
		},
		{
			Role: control, Mechanism: "the process, with 1,000 versions and 100,000 live claims", Sources: "controlHostResidentMB",
			BytesPerS: none, CorePercent: none, MemoryMB: m.value("controlHostResidentMB"),
		},
		{
			Role: control, Mechanism: "claims: one group, held for a day", Sources: "claimBytesPerClaim, claimApplyNsPerClaim",
			BytesPerS: none, CorePercent: m.each("claimApplyNsPerClaim", claims) / perSecond * percent, MemoryMB: m.each("claimBytesPerClaim", claims*claimWindowS) / megabyte, DataPlane: true,
			Note: "many groups, sharded by key, on entry hosts with a disk; completed claims kept on disk; a shorter window",
		},
	}
}
