package control

import (
	"slices"
	"strings"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Only one control host, the primary, sends changes of instances, so that each
// change is received once. Another control host becomes the primary as soon as
// the current one fails to respond or has no quorum.

// WithZone prefers a primary in this host's availability zone.
func WithZone(zone string) WatchOption { return func(w *Watch) { w.zone = zone } }

func (w *Watch) addHost(host *polledHost) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polled[host.address] = host
	w.electPrimary()
}

func (w *Watch) removeHost(host *polledHost) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.polled[host.address] == host {
		delete(w.polled, host.address)
	}
	w.electPrimary()
}

// pendingPoll is one poll of a control host.
type pendingPoll struct {
	number        uint64 // of the host's polls
	primary       bool   // requests instances
	only          bool   // there is no other control host
	whole         bool   // requests the full rules text, not a delta
	knownSuspects uint64

	knownRateLimits uint64
	knownIsolations uint64
}

func (w *Watch) beginPoll(host *polledHost) pendingPoll {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-host.again: // this poll requests instances already
	default:
	}
	host.polls++
	return pendingPoll{
		number: host.polls, primary: w.members != nil && w.primary == host, only: len(w.polled) == 1,
		whole: host.needsFullText, knownSuspects: host.suspectsRevision, knownRateLimits: host.rateLimitsRevision, knownIsolations: host.isolations,
	}
}

// pollAgain makes the next poll start at once, beside the one that is pending.
func (host *polledHost) pollAgain() {
	select {
	case host.again <- struct{}{}:
	default: // signalled already
	}
}

// recordPoll records a response, nil for none, and elects a primary if needed. A
// poll that a later one has replaced says nothing about the control host's health.
func (w *Watch) recordPoll(host *polledHost, poll pendingPoll, response *wire.WatchResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	zone, healthy := response.GetZone(), response.GetQuorum()
	if response != nil {
		host.needsFullText = false
		if poll.primary {
			host.suspectsRevision = response.GetSuspectsRevision()
			if w.isolated != nil && response.GetIsolations() > host.isolations {
				w.isolated()
			}
			host.isolations = response.GetIsolations()
		}
		if poll.primary || w.members == nil {
			host.rateLimitsRevision = response.GetRateLimitsRevision()
		}
	}
	if zone != "" {
		host.zone = zone
	}
	if poll.number != host.polls || host.healthy == healthy && w.primary != nil && (zone == "" || w.primary.zone != "") {
		return
	}
	host.healthy = healthy
	w.electPrimary()
}

// electPrimary makes the best control host the primary: a healthy one before
// others, then one in this zone, then by address. w.mu must be held.
func (w *Watch) electPrimary() {
	if w.members == nil {
		return
	}
	best := w.primary
	if best != nil && w.polled[best.address] != best {
		best = nil
	}
	all := make([]*polledHost, 0, len(w.polled))
	for _, host := range w.polled {
		all = append(all, host)
	}
	slices.SortFunc(all, func(a, b *polledHost) int { return strings.Compare(a.address, b.address) })
	for _, host := range all {
		if best == nil || w.preferred(host, best) {
			best = host
		}
	}
	if best == w.primary {
		return
	}
	w.primary = best
	if best == nil {
		return
	}
	best.pollAgain() // for instances
}

func (w *Watch) preferred(a, b *polledHost) bool {
	if a.healthy != b.healthy {
		return a.healthy
	}
	return a.healthy && a.zone == w.zone && b.zone != w.zone
}
