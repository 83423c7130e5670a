// Package fleet keeps what entry hosts last reported to this control host. It
// is not durable: every entry host reports again within its poll interval.
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

	"github.com/snipebeam/snipebeam/world/wire"
)

// SilentAfter is how long after its last report a host counts as silent.
const SilentAfter = 5 * time.Second

// ForgetAfter is how long after its last report a host is forgotten.
const ForgetAfter = 10 * time.Minute

// StateSilent is shown for a host that has not reported in time.
const StateSilent = "silent"

// Fleet holds the latest report of each host.
type Fleet struct {
	mu      sync.Mutex
	reports map[string]*wire.HostReport
	heard   map[string]time.Time
	polls   map[string]int // that hosts hold open

	suspects suspects
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		reports: map[string]*wire.HostReport{}, heard: map[string]time.Time{}, polls: map[string]int{},
		suspects: newSuspects(),
	}
}

// StateLeft is the state of a host's last report: it stopped as planned.
const StateLeft = "left"

// Report stores a host's report, heard at the given time, and returns the one
// before, or nil. A host that left is forgotten.
func (f *Fleet) Report(report *wire.HostReport, now time.Time) *wire.HostReport {
	name := report.GetName()
	if name == "" {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.reports[name]
	if report.GetState() == StateLeft {
		delete(f.reports, name)
		delete(f.heard, name)
		return previous
	}
	f.reports[name] = report
	f.heard[name] = now
	return previous
}

// BeginPoll stores the report of a host that begins to poll, as Report does. The
// host counts as reached until the poll has ended, and for ReachedAfter from
// then on.
func (f *Fleet) BeginPoll(report *wire.HostReport, now time.Time) (previous *wire.HostReport, leave func()) {
	previous = f.Report(report, now)
	f.suspects.add(report.GetSuspects())
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
		if _, known := f.heard[name]; known {
			f.heard[name] = time.Now()
		}
	}
}

// PollGrace is how long after its last poll a host still counts as reached:
// the pause between two polls and the way there, with a margin for busy hosts.
const PollGrace = 500 * time.Millisecond

// Polling returns the latest reports of the hosts that poll this control host
// now, in order of names.
func (f *Fleet) Polling(now time.Time) []*wire.HostReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*wire.HostReport
	for name, report := range f.reports {
		if f.polls[name] > 0 || now.Sub(f.heard[name]) <= PollGrace {
			all = append(all, report)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].GetName() < all[j].GetName() })
	return all
}

// Hosts returns the reports in order of names; silent hosts are marked.
func (f *Fleet) Hosts(now time.Time) []*wire.HostReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*wire.HostReport
	for name, report := range f.reports {
		age := now.Sub(f.heard[name])
		if age > ForgetAfter {
			delete(f.reports, name)
			delete(f.heard, name)
			continue
		}
		all = append(all, marked(report, age))
	}
	sort.Slice(all, func(i, j int) bool { return all[i].GetName() < all[j].GetName() })
	return all
}

func marked(report *wire.HostReport, age time.Duration) *wire.HostReport {
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
