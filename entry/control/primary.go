package control

import (
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Only one control host, the primary, sends changes of instances, so that each
// change is received once. Another control host becomes the primary as soon as
// the current one fails to respond or has no quorum.

// errBecamePrimary cancels the pending poll of a control host that was elected
// primary.
var errBecamePrimary = errors.New("control host elected primary")

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

// beginPoll returns the context of a poll, and whether the poll requests
// instances.
func (w *Watch) beginPoll(ctx context.Context, host *polledHost) (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	host.cancel = cancel
	return ctx, w.members != nil && w.primary == host
}

// recordPoll records the health of a control host as seen by a poll, and elects
// a primary if needed.
func (w *Watch) recordPoll(host *polledHost, healthy bool, zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	host.cancel(nil)
	if zone != "" {
		host.zone = zone
	}
	if host.healthy == healthy && w.primary != nil && (zone == "" || w.primary.zone != "") {
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
	if best != nil && best.cancel != nil {
		best.cancel(errBecamePrimary) // its next poll requests instances
	}
}

func (w *Watch) preferred(a, b *polledHost) bool {
	if a.healthy != b.healthy {
		return a.healthy
	}
	return a.healthy && a.zone == w.zone && b.zone != w.zone
}
