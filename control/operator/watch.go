package operator

import (
	"context"
	"time"

	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

const (
	// maxWatchWait limits the duration of a long poll.
	maxWatchWait = 10 * time.Second
	// batchDelay is how long a poll collects changes before it returns them, and
	// hostBatchDelay how much longer it collects those of instances for each polling entry
	// host, so that the polls of a large fleet stay few. It is short because drains must
	// take effect within seconds.
	batchDelay     = 150 * time.Millisecond
	hostBatchDelay = time.Millisecond
	maxBatchDelay  = 500 * time.Millisecond
	// admissionWait limits a poll of the leader while it decides which part of the demand
	// is admitted. Entry hosts obey an answer for 2 s.
	admissionWait = time.Second
	// quorumCheckInterval is how often a poll for instances checks that this host
	// still has a quorum. Without one the poll ends, so that the entry host gets
	// the changes from another control host.
	quorumCheckInterval = 250 * time.Millisecond
)

// Watch records the host's report and waits for a version or instance records
// newer than those of the request. A newer version is returned immediately,
// without confirmation by the quorum: a version that this host applied was
// committed, so it is or was in force. A response is stale unless a quorum
// confirmed that there is no newer version.
func (s *Rules) Watch(ctx context.Context, req *wire.WatchRequest) (*wire.WatchResponse, error) {
	received := time.Now()
	previous, end := s.fleet.BeginPoll(req.GetReport(), received)
	defer end()
	newer := s.await(ctx, req)
	if ctx.Err() != nil {
		return nil, twirp.NewError(twirp.Unavailable, context.Cause(ctx).Error())
	}
	response := &wire.WatchResponse{Stale: true, ServedBy: s.name, Zone: s.zone}
	if req.GetKnownVersion() == 0 {
		response.Previous = previous
	}
	if s.shouldConfirm(req, newer) {
		s.confirmWatch(ctx, response, received)
	}
	version, text := s.machine.InForce()
	response.Version = version
	if version.GetNumber() > req.GetKnownVersion() {
		s.addText(req, response, text)
	}
	response.AsOf = time.Now().UnixNano()
	response.Quorum = s.log.Status().Quorum()
	response.Rates = s.fleet.Rates(time.Now())
	s.addMembership(req, response)
	if report := req.GetReport(); s.directory != nil && (req.GetInstances() || report.GetState() == placement.StateIsolated) {
		response.Relays = s.directory.Relays(report.GetName(), report.GetZone())
	}
	if s.admission != nil {
		s.addAdmissions(response, received)
	}
	if req.GetRateLimits() {
		response.RateLimits, response.RateLimitsRevision = s.fleet.RateLimits(req.GetKnownRateLimits(), time.Now())
	}
	return response, nil
}

// shouldConfirm reports whether the response needs confirmation by the quorum.
// The first response to a watcher always does, and so does the first one with instances, as
// an entry host that starts must not miss an evacuated zone. A later one does not if it carries
// a newer version, or if this host has no quorum and the watcher polls for
// instances, because such a watcher fails over to another control host.
func (s *Rules) shouldConfirm(req *wire.WatchRequest, newer bool) bool {
	if req.GetKnownVersion() == 0 || s.bringsFirstInstances(req) {
		return true
	}
	return !newer && (!req.GetInstances() || s.log.Status().Quorum())
}

// bringsFirstInstances reports whether a watcher polls for instances, has none yet, and gets
// some that can be confirmed.
func (s *Rules) bringsFirstInstances(req *wire.WatchRequest) bool {
	return req.GetInstances() && req.GetKnownInstances() == 0 && s.machine.InstancesRevision() > 0 && s.log.Status().Quorum()
}

// addAdmissions adds the parts of the demand to admit, and the time for which the poll was
// held, so that the entry host knows how old they are when they come.
func (s *Rules) addAdmissions(response *wire.WatchResponse, received time.Time) {
	if response.Admissions = s.admission.Admissions(); len(response.GetAdmissions()) > 0 {
		response.HeldMs = time.Since(received).Milliseconds()
	}
}

// addMembership adds instance records for hosts that get them from control
// hosts, and gossip seeds for hosts that get them by gossip.
func (s *Rules) addMembership(req *wire.WatchRequest, response *wire.WatchResponse) {
	for _, m := range s.log.Status().Members() {
		response.ControlHosts = append(response.ControlHosts, m.GetAddress())
	}
	if !req.GetInstances() {
		if req.GetNoSeeds() {
			return
		}
		response.Seeds = s.fleet.Seeds(req.GetReport().GetName(), time.Now())
		return
	}
	if s.directory != nil {
		response.ActiveHosts = uint32(s.directory.ActiveHosts())
	}
	// An entry host takes no first instances that are unconfirmed, and would get all of them again
	// with each poll.
	if req.GetKnownInstances() > 0 || !response.GetStale() {
		response.Instances, response.InstancesRevision = s.machine.Instances(req.GetKnownInstances())
		// Read after the instances, so that the zones are at least as new.
		response.EvacuatedZones, response.EvacuationsRevision = s.machine.EvacuatedZones()
	}
	response.Isolations, _ = s.fleet.Isolations()
	response.Suspects, response.SuspectsRevision = s.fleet.Suspects(req.GetKnownSuspects(), time.Now())
}

// await waits for a newer version and reports whether there is one. The wait
// ends early on changes of instances, evacuated zones, suspects, rate limits or isolations
// too.
func (s *Rules) await(ctx context.Context, req *wire.WatchRequest) bool {
	if s.bringsFirstInstances(req) { // an entry host without instances serves nobody
		return s.hasNewerVersion(req)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := s.maxWait(req)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	lost := s.quorumLost(ctx, req)
	for {
		changed := s.signals(req)
		if s.hasNewerVersion(req) {
			return true
		}
		if s.hasChanges(req) {
			pause.For(ctx, s.delay(req))
			return s.hasNewerVersion(req)
		}
		select {
		case <-changed.version:
		case <-changed.instances:
		case <-changed.evacuations:
		case <-changed.suspects:
		case <-changed.rateLimits:
		case <-changed.isolations:
		case <-lost:
			return false
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// maxWait returns how long a poll waits for changes. The leader hears of the demand, and
// entry hosts of its answer, more often while there is one.
func (s *Rules) maxWait(req *wire.WatchRequest) time.Duration {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxWatchWait)
	if s.admission == nil || !s.admission.Leads() {
		return wait
	}
	if len(req.GetReport().GetDemand()) > 0 || len(s.admission.Admissions()) > 0 {
		return min(wait, admissionWait)
	}
	return wait
}

// delay returns how long a poll collects changes. News of instances that were lost, that
// hosts reach none, or of evacuated zones do not wait for longer in a large fleet.
func (s *Rules) delay(req *wire.WatchRequest) time.Duration {
	suspects, _ := s.fleet.Suspects(req.GetKnownSuspects(), time.Now())
	isolations, _ := s.fleet.Isolations()
	if len(suspects) > 0 || isolations > req.GetKnownIsolations() || s.hasNewerEvacuations(req) {
		return batchDelay
	}
	hosts := len(s.fleet.Polling(time.Now()))
	return min(batchDelay+time.Duration(hosts)*hostBatchDelay, maxBatchDelay)
}

// signals are closed at the next change of what a poll asks for; they are nil for the rest.
type signals struct {
	version, instances, evacuations  state.Signal
	suspects, rateLimits, isolations <-chan struct{}
}

// signals must be called before the state is read, so that no change is missed.
func (s *Rules) signals(req *wire.WatchRequest) signals {
	changed := signals{version: s.machine.VersionChanged()}
	if req.GetRateLimits() {
		changed.rateLimits = s.fleet.RateLimitsChanged()
	}
	if req.GetInstances() {
		changed.instances, changed.suspects = s.machine.InstancesChanged(), s.fleet.SuspectsChanged()
		_, changed.isolations = s.fleet.Isolations()
		changed.evacuations = s.machine.EvacuationsChanged()
	}
	return changed
}

// quorumLost returns a channel that is closed when this host loses its quorum.
// It returns nil for a poll without instances, and if there is no quorum at the
// start.
func (s *Rules) quorumLost(ctx context.Context, req *wire.WatchRequest) <-chan struct{} {
	if !req.GetInstances() || !s.log.Status().Quorum() {
		return nil
	}
	lost := make(chan struct{})
	go func() {
		for pause.For(ctx, quorumCheckInterval) {
			if !s.log.Status().Quorum() {
				close(lost)
				return
			}
		}
	}()
	return lost
}

func (s *Rules) hasNewerVersion(req *wire.WatchRequest) bool {
	version, _ := s.machine.InForce()
	return version.GetNumber() > req.GetKnownVersion()
}

// hasChanges reports whether there are newer instance records, evacuated zones, suspects or
// rate limits than the request has.
func (s *Rules) hasChanges(req *wire.WatchRequest) bool {
	if req.GetRateLimits() {
		if changed, _ := s.fleet.RateLimits(req.GetKnownRateLimits(), time.Now()); len(changed) > 0 {
			return true
		}
	}
	if !req.GetInstances() {
		return false
	}
	if isolations, _ := s.fleet.Isolations(); isolations > req.GetKnownIsolations() {
		return true
	}
	suspects, _ := s.fleet.Suspects(req.GetKnownSuspects(), time.Now())
	return s.machine.InstancesRevision() > req.GetKnownInstances() || s.hasNewerEvacuations(req) || len(suspects) > 0
}

func (s *Rules) hasNewerEvacuations(req *wire.WatchRequest) bool {
	return s.machine.EvacuationsRevision() > req.GetKnownEvacuations()
}

// confirmWatch must run before the version is read, so that the version is at
// least as new as any that was accepted before the confirmation started.
func (s *Rules) confirmWatch(ctx context.Context, response *wire.WatchResponse, began time.Time) {
	age, err := s.confirmer.confirmSince(ctx, began)
	response.Stale = err != nil
	response.ConfirmAgeNs = int64(age)
}
