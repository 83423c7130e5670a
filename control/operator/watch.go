package operator

import (
	"context"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/delta"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	// maxWatch bounds a long poll.
	maxWatch = 10 * time.Second
	// gatherTime is how long changes of instances are gathered before a poll is
	// answered with them; drains must be known within seconds.
	gatherTime = 150 * time.Millisecond
	// quorumInterval is how often a poll for instances is given up when this
	// host has lost the quorum: another one tells of them then.
	quorumInterval = 250 * time.Millisecond
)

// Watch records the host's report and waits for a version or records of
// instances newer than the known ones. A newer version is told at once, without a question to the
// quorum: what this host applied was committed, so it is or was in force. An
// answer is stale when no quorum said that nothing newer is.
func (s *Rules) Watch(ctx context.Context, req *wire.WatchRequest) (*wire.WatchResponse, error) {
	previous, leave := s.fleet.BeginPoll(req.GetReport(), time.Now())
	defer leave()
	newer := s.await(ctx, req)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	response := &wire.WatchResponse{Stale: true, ServedBy: s.name, Zone: s.zone}
	if req.GetKnownVersion() == 0 {
		response.Previous = previous
	}
	if s.mayConfirm(req, newer) {
		s.confirmWatch(ctx, response)
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
	return response, nil
}

// mayConfirm reports whether the quorum is asked before the answer: not if a
// newer version is told at once, and not by a host that lost its quorum when
// the watcher has another one to turn to.
func (s *Rules) mayConfirm(req *wire.WatchRequest, newer bool) bool {
	if req.GetKnownVersion() == 0 {
		return true
	}
	return !newer && (!req.GetInstances() || s.log.Status().Quorum())
}

// addMembership adds the records of instances to hosts that learn them from
// control hosts, and other hosts to join to those that learn them by gossip.
func (s *Rules) addMembership(req *wire.WatchRequest, response *wire.WatchResponse) {
	for _, m := range s.log.Status().Members() {
		response.ControlHosts = append(response.ControlHosts, m.GetAddress())
	}
	if !req.GetInstances() {
		response.Seeds = s.fleet.Seeds(req.GetReport().GetName(), time.Now())
		return
	}
	if s.names != nil {
		response.ActiveHosts = uint32(s.names.ActiveHosts())
	}
	response.Instances, response.InstancesRevision = s.machine.Instances(req.GetKnownInstances())
	response.Suspects, response.SuspectsRevision = s.fleet.Suspects(req.GetKnownSuspects())
}

// await reports whether a newer version came in force within the wait, which
// ends early with other news too.
func (s *Rules) await(ctx context.Context, req *wire.WatchRequest) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxWatch)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	lost := s.quorumLost(ctx, req)
	for {
		changed, told := s.machine.Changed(), s.fleet.SuspectsChanged()
		if s.newer(req) {
			return true
		}
		if s.news(req) {
			pause.For(ctx, gatherTime)
			return s.newer(req)
		}
		select {
		case <-changed:
		case <-told:
		case <-lost:
			return false
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// quorumLost returns a channel that is closed when this host has no quorum any
// more, for a poll that relies on it for instances, else nil.
func (s *Rules) quorumLost(ctx context.Context, req *wire.WatchRequest) <-chan struct{} {
	if !req.GetInstances() || !s.log.Status().Quorum() {
		return nil
	}
	lost := make(chan struct{})
	go func() {
		for pause.For(ctx, quorumInterval) {
			if !s.log.Status().Quorum() {
				close(lost)
				return
			}
		}
	}()
	return lost
}

func (s *Rules) newer(req *wire.WatchRequest) bool {
	version, _ := s.machine.InForce()
	return version.GetNumber() > req.GetKnownVersion()
}

// news reports whether there is something to tell beside a version.
func (s *Rules) news(req *wire.WatchRequest) bool {
	if !req.GetInstances() {
		return false
	}
	_, suspects := s.fleet.Suspects(req.GetKnownSuspects())
	return s.machine.InstancesRevision() > req.GetKnownInstances() || suspects > req.GetKnownSuspects()
}

// confirmWatch asks before the version is read, so that the version is at
// least as new as any that was accepted before the question.
func (s *Rules) confirmWatch(ctx context.Context, response *wire.WatchResponse) {
	age, err := s.shared.confirm(ctx)
	response.Stale = err != nil
	response.ConfirmAgeNs = int64(age)
}

// addText adds the difference to the known version, or the whole text if that
// is smaller or asked for.
func (s *Rules) addText(req *wire.WatchRequest, response *wire.WatchResponse, text string) {
	if !req.GetWhole() && req.GetKnownVersion() > 0 {
		_, known := s.machine.Version(req.GetKnownVersion())
		if data := s.watched.difference(req.GetKnownVersion(), response.GetVersion().GetNumber(), known, text); len(data) > 0 && len(data) < len(text) {
			response.Delta = data
			return
		}
	}
	if data := s.packed(response.GetVersion().GetNumber(), text); len(data) > 0 {
		response.Delta, response.Whole = data, true
		return
	}
	response.Text = text
}

// packBytes is the size from which a whole text is told compressed.
const packBytes = 1 << 10

// packed returns the difference from an empty text, nil for a short text.
func (s *Rules) packed(number uint64, text string) []byte {
	if len(text) < packBytes {
		return nil
	}
	return s.whole.difference(0, number, "", text)
}

// watched keeps the last difference: most hosts know the version before.
type watched struct {
	mu       sync.Mutex
	from, to uint64
	data     []byte
}

func (w *watched) difference(from, to uint64, older, newer string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.from == from && w.to == to {
		return w.data
	}
	if older == "" && from > 0 {
		return nil // no longer kept
	}
	data, err := delta.Diff(older, newer)
	if err != nil {
		return nil
	}
	w.from, w.to, w.data = from, to, data
	return data
}
