package control

import (
	"math/rand/v2"
	"time"

	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/wire"
)

// applyResponse applies everything in a response except the rules.
func (w *Watch) applyResponse(response *wire.WatchResponse, primary bool) {
	w.join(response.GetSeeds())
	if primary {
		w.applyInstances(response)
		w.members.AddSuspects(response.GetSuspects())
		w.members.SetActiveHosts(int(response.GetActiveHosts()))
	}
	if !response.GetStale() {
		w.updateGroup(response.GetControlHosts())
	}
	// A control host that is partitioned, or has just started, has received few
	// reports; its rates are incomplete.
	if rates := response.GetRates(); w.rates != nil && !response.GetStale() && len(rates) > 0 {
		w.rates(rates)
	}
	w.applyRelays(response)
	if limits := response.GetRateLimits(); w.rateLimits != nil && len(limits) > 0 {
		w.rateLimits(limits)
	}
	if previous := response.GetPrevious(); previous != nil && w.restore != nil {
		w.restoreOnce.Do(func() { w.restore(previous) })
	}
}

// applyInstances applies the evacuated zones before the instances, so that no request is sent to
// an instance whose zone is known to be evacuated. The first instances must be confirmed by a
// quorum: a control host that lags behind may not know of an evacuation that this host obeyed
// before its restart.
func (w *Watch) applyInstances(response *wire.WatchResponse) {
	if response.GetStale() && w.members.Revision() == 0 {
		return
	}
	w.members.ApplyEvacuations(response.GetEvacuatedZones(), response.GetEvacuationsRevision())
	w.members.Apply(response.GetInstances(), response.GetInstancesRevision())
}

func (w *Watch) applyRelays(response *wire.WatchResponse) {
	if relays := response.GetRelays(); w.relays != nil && len(relays) > 0 {
		w.relays(relays)
	}
}

// versionChange is what a response brought beyond the known version.
type versionChange int

const (
	noVersion       versionChange = iota
	newVersion                    // that no other control host had sent
	repeatedVersion               // that another control host had sent meanwhile
)

// versionChangeOf classifies a response. Until a version is confirmed every response counts
// as noVersion, so that the next poll is sent at once.
func (w *Watch) versionChangeOf(response *wire.WatchResponse, known *rules.InForce) versionChange {
	number := response.GetVersion().GetNumber()
	switch {
	case !w.table.Confirmed() || number <= known.Number():
		return noVersion
	case number <= w.table.Current().Number():
		return repeatedVersion
	}
	return newVersion
}

// delay returns the time to the next poll after a successful one. The control
// hosts that repeat a version are polled later and not in step.
func (c versionChange) delay() time.Duration {
	switch c {
	case newVersion:
		return versionDelay
	case repeatedVersion:
		return versionDelay + rand.N(versionDelay)
	}
	return 0
}

// applyAdmissions applies the parts of the demand to admit. The control host read them after
// it had held the poll, so that the rest of the poll's time bounds their age.
func (w *Watch) applyAdmissions(response *wire.WatchResponse, took time.Duration) {
	if admissions := response.GetAdmissions(); w.admissions != nil && len(admissions) > 0 {
		w.admissions(admissions, took-time.Duration(response.GetHeldMs())*time.Millisecond)
	}
}
