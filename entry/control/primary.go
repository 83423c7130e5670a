package control

import (
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// One control host, the primary, tells of instances, so that each change comes
// once. Another one takes over as soon as it does not answer or has no quorum.

// errElected ends a poll of a control host that became the primary.
var errElected = errors.New("the control host is to tell of instances")

// WithZone prefers a primary in this host's availability zone.
func WithZone(zone string) WatchOption { return func(w *Watch) { w.zone = zone } }

func (w *Watch) enter(host *watched) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.followed[host.address] = host
	w.elect()
}

func (w *Watch) leave(host *watched) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.followed[host.address] == host {
		delete(w.followed, host.address)
	}
	w.elect()
}

// begin returns the context of a poll, and whether it asks for instances.
func (w *Watch) begin(ctx context.Context, host *watched) (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	host.cancel = cancel
	return ctx, w.members != nil && w.primary == host
}

// judge takes what a poll showed of a control host.
func (w *Watch) judge(host *watched, healthy bool, zone string) {
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
	w.elect()
}

// elect makes the best control host the primary: a healthy one before others,
// then one of this zone, then by address. The lock is held.
func (w *Watch) elect() {
	if w.members == nil {
		return
	}
	best := w.primary
	if best != nil && w.followed[best.address] != best {
		best = nil
	}
	all := make([]*watched, 0, len(w.followed))
	for _, host := range w.followed {
		all = append(all, host)
	}
	slices.SortFunc(all, func(a, b *watched) int { return strings.Compare(a.address, b.address) })
	for _, host := range all {
		if best == nil || w.better(host, best) {
			best = host
		}
	}
	if best == w.primary {
		return
	}
	w.primary = best
	if best != nil && best.cancel != nil {
		best.cancel(errElected) // its next poll asks for instances
	}
}

func (w *Watch) better(a, b *watched) bool {
	if a.healthy != b.healthy {
		return a.healthy
	}
	return a.healthy && a.zone == w.zone && b.zone != w.zone
}
