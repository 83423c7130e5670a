// Package fleet keeps the latest reports of entry hosts to this control host.
// They are kept in memory only, because every entry host reports again within
// its poll interval.
//
// Usage:
//
//	f := fleet.New()
//	f.Report(report)
//	for _, host := range f.Hosts(now) { ... }
package fleet

import (
	"sort"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

// SilentAfter is the time without a report after which a host is silent.
const SilentAfter = 5 * time.Second

// ReportTTL is how long the last report of a host is kept.
const ReportTTL = 10 * time.Minute

// StateSilent is the state of a host that has not reported within SilentAfter.
const StateSilent = "silent"

// Fleet holds the latest report of each host.
type Fleet struct {
	mu       sync.Mutex
	reports  map[string]*wire.HostReport
	lastSeen map[string]time.Time
	polls    map[string]int // open long polls by host
	snapshot *Snapshot      // the latest one, nil if a host has changed since

	suspects   suspects
	rateLimits rateLimits
	isolations isolations
}

// Option configures a fleet.
type Option func(*Fleet)

// New returns an empty fleet.
func New(opts ...Option) *Fleet {
	f := &Fleet{
		reports: map[string]*wire.HostReport{}, lastSeen: map[string]time.Time{}, polls: map[string]int{},
		suspects: newSuspects(), rateLimits: newRateLimits(), isolations: newIsolations(),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// StateLeft is the state in the last report of a host after an orderly shutdown.
const StateLeft = "left"

// Report stores a host's report, received at the given time, and returns the
// previous one, or nil. A host that left is removed.
func (f *Fleet) Report(report *wire.HostReport, now time.Time) *wire.HostReport {
	name := report.GetName()
	if name == "" {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.reports[name]
	if previous.GetState() != report.GetState() || previous.GetCallersAddress() != report.GetCallersAddress() {
		f.snapshot = nil
	}
	if report.GetState() == StateLeft {
		delete(f.reports, name)
		delete(f.lastSeen, name)
		return previous
	}
	f.reports[name] = report
	f.lastSeen[name] = now
	return previous
}

// BeginPoll stores the report of a host at the start of a long poll, as Report
// does. The host counts as polling until the returned function is called at the
// end of the poll, and for PollGrace after that.
func (f *Fleet) BeginPoll(report *wire.HostReport, now time.Time) (previous *wire.HostReport, end func()) {
	previous = f.Report(report, now)
	f.suspects.add(report.GetSuspects(), now)
	f.AddRateLimits(report.GetRateLimits(), now)
	if report.GetState() == placement.StateIsolated && previous.GetState() != placement.StateIsolated {
		f.isolations.add(now)
	}
	name := report.GetName()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls[name]++
	return previous, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.polls[name]--; f.polls[name] == 0 {
			delete(f.polls, name)
		}
		if _, ok := f.lastSeen[name]; ok {
			f.lastSeen[name] = time.Now()
		}
	}
}

// PollGrace is how long after its last poll a host still counts as polling. It
// covers the pause between two polls and the network latency, with a margin
// for busy hosts.
const PollGrace = 500 * time.Millisecond

// Hosts returns the latest reports sorted by name, with the state of silent
// hosts set to StateSilent. It removes hosts whose reports have expired.
func (f *Fleet) Hosts(now time.Time) []*wire.HostReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*wire.HostReport
	for name, report := range f.reports {
		age := now.Sub(f.lastSeen[name])
		if age > ReportTTL {
			delete(f.reports, name)
			delete(f.lastSeen, name)
			continue
		}
		all = append(all, markSilent(report, age))
	}
	sort.Slice(all, func(i, j int) bool { return all[i].GetName() < all[j].GetName() })
	return all
}

func markSilent(report *wire.HostReport, age time.Duration) *wire.HostReport {
	if age <= SilentAfter {
		return report
	}
	return &wire.HostReport{
		Name: report.GetName(), Zone: report.GetZone(), Role: report.GetRole(),
		CallersAddress: report.GetCallersAddress(), PeersAddress: report.GetPeersAddress(),
		PlatformAddress: report.GetPlatformAddress(), Version: report.GetVersion(), State: StateSilent,
		ReportedAt: report.GetReportedAt(), Backlog: report.GetBacklog(),
		VersionConfirmedAt: report.GetVersionConfirmedAt(), InFlight: report.GetInFlight(),
	}
}
