package poison

import (
	"context"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Attempt is one request dispatched to one instance. It is not safe for
// concurrent use.
type Attempt struct {
	tracker   *Tracker
	fp        Fingerprint
	instance  string
	exclusive bool // holds the tracker's exclusive slot for suspects
	ended     bool
}

// Begin records that a request is dispatched to an instance. A suspect first
// waits until no other suspect runs, for exclusiveWait at most.
func (t *Tracker) Begin(ctx context.Context, fp Fingerprint, instance string) *Attempt {
	a := &Attempt{tracker: t, fp: fp, instance: instance}
	if t.hasSuspects.Load() && t.isSuspect(fp) {
		a.exclusive = t.acquireExclusive(ctx)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts[instance] == nil {
		t.attempts[instance] = map[*Attempt]struct{}{}
	}
	t.attempts[instance][a] = struct{}{}
	return a
}

func (t *Tracker) isSuspect(fp Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects[fp] != nil
}

func (t *Tracker) acquireExclusive(ctx context.Context) bool {
	timer := time.NewTimer(exclusiveWait)
	defer timer.Stop()
	select {
	case t.exclusive <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

// Answered clears the request of suspicion: an instance has responded to it
// without being lost. A request that is already refused stays refused.
func (a *Attempt) Answered() {
	t := a.tracker
	if !t.hasSuspects.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[a.fp]; s != nil && s.refusedUntil.IsZero() {
		delete(t.suspects, a.fp)
		t.hasSuspects.Store(len(t.suspects) > 0)
	}
}

// InstanceLost records the loss of the instance. All requests in flight there
// become suspects. It broadcasts them before it returns, within the context, so
// that the other hosts have them before the caller can retry the request.
func (a *Attempt) InstanceLost(ctx context.Context) {
	lossesTotal.Inc()
	a.tracker.broadcast(ctx, a.tracker.recordInstanceLoss(a.instance, time.Now()))
}

func (t *Tracker) recordInstanceLoss(instance string, now time.Time) []*wire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordLoss(instance, now)
	fps := map[Fingerprint]struct{}{}
	for a := range t.attempts[instance] {
		fps[a.fp] = struct{}{}
	}
	for fp := range fps {
		t.recordSuspect(fp, instance, now)
	}
	t.discardCorrelated(now)
	var msgs []*wire.Suspect
	for fp := range fps {
		if s := t.suspects[fp]; s != nil {
			msgs = append(msgs, s.message(fp))
		}
	}
	return msgs
}

// End ends the attempt. It is idempotent and accepts a nil receiver.
func (a *Attempt) End() {
	if a == nil || a.ended {
		return
	}
	a.ended = true
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.attempts[a.instance], a)
	if len(t.attempts[a.instance]) == 0 {
		delete(t.attempts, a.instance)
	}
	if a.exclusive {
		<-t.exclusive
	}
}
