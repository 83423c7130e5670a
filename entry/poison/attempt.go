package poison

import (
	"context"
	"time"

	"github.com/snipebeam/snipebeam/world/evidence"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Attempt is one request dispatched to one incarnation of an instance. It is not safe for
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
	if t.Suspect(fp) {
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

// Answered excuses the losses under the request: an instance has run it without being
// lost. A request that is already refused stays refused. An instance that refuses the
// request says nothing of it.
func (a *Attempt) Answered() {
	t := a.tracker
	if !t.hasSuspects.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, refused := t.refused[a.fp]; refused || t.book.Excuse(uint64(a.fp)) == evidence.Unchanged {
		return
	}
	excusesTotal.Inc()
	t.logger.Info("losses are excused by a response", "fingerprint", a.fp.String(), "instance", a.instance)
	now := time.Now()
	t.changed[a.fp] = now
	t.judge(now) // it no longer explains the losses of other requests
}

// InstanceLost records the loss of the instance. All requests in flight there
// become suspects. It broadcasts them before it returns, within the context, so
// that the other hosts have them before the caller can retry the request.
func (a *Attempt) InstanceLost(ctx context.Context) {
	if suspects := a.tracker.recordInstanceLoss(a.instance, time.Now()); len(suspects) > 0 {
		a.tracker.broadcast(ctx, suspects)
	}
}

// recordInstanceLoss returns the suspects for which the loss is new.
func (t *Tracker) recordInstanceLoss(instance string, now time.Time) []*wire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fps []Fingerprint
	var names []string
	for a := range t.attempts[instance] {
		if t.book.AddLoss(uint64(a.fp), instance, now) == evidence.Added {
			fps = append(fps, a.fp)
			names = append(names, a.fp.String())
			t.changed[a.fp] = now
		}
	}
	if len(fps) == 0 {
		return nil
	}
	lossesTotal.Inc()
	t.logger.Info("instance lost under requests", "instance", instance, "fingerprints", names)
	t.judge(now)
	return t.messages(fps, now)
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
