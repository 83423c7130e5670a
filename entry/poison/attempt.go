package poison

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/snipebeam/snipebeam/world/evidence"
)

// Attempt is one request dispatched to one incarnation of an instance. It is not safe for
// concurrent use. Attempts that end without a response are kept until it is known whether the
// instance has ended.
type Attempt struct {
	tracker   *Tracker
	fp        Fingerprint
	instance  string
	began     time.Time
	exclusive bool // holds the tracker's exclusive slot for suspects
	settled   bool // it is recorded how it ended
	ended     bool
}

// Begin records that a request is dispatched to an instance. A suspect first
// waits until no other suspect runs, for exclusiveWait at most.
func (t *Tracker) Begin(ctx context.Context, fp Fingerprint, instance string) *Attempt {
	a := &Attempt{tracker: t, fp: fp, instance: instance}
	if t.Suspect(fp) {
		a.exclusive = t.acquireExclusive(ctx)
	}
	a.began = time.Now()
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

// Dismiss says that the instance has not run the request: nothing was sent, or it refused.
func (a *Attempt) Dismiss() { a.settled = true }

// Answered excuses the losses under the request: an instance has run it without being
// lost. A request that is already refused stays refused.
func (a *Attempt) Answered() {
	a.settled = true
	now := time.Now()
	a.tracker.answers.record(a.fp, now)
	a.tracker.excuse(a.fp, a.instance, now)
}

// Responded records a response of the instance on a connection that was opened at a time.
func (a *Attempt) Responded(opened time.Time) {
	if a.tracker.hasPending.Load() {
		a.tracker.InstanceSurvived(a.instance, opened)
	}
}

// Interrupted records that the connection closed or fell silent under the request. Whether the
// instance has ended is not known yet; the reports of this host tell others of the attempt. It
// reports whether the end has to be found out.
func (a *Attempt) Interrupted() bool { return a.interrupt(true) }

func (a *Attempt) interrupt(observed bool) bool {
	a.settled = true
	t, now := a.tracker, time.Now()
	attempt := evidence.NewAttempt(uint64(a.fp), a.instance, rand.Uint64(), a.began, now, observed)
	t.mu.Lock()
	lost, answered := t.pending.Add(attempt, now), t.answers.since(a.fp, a.began)
	switch {
	case answered:
		t.pending.Excuse(uint64(a.fp))
	case lost:
		messages := t.lose([]*evidence.Attempt{attempt}, now)
		t.mu.Unlock()
		t.tell(messages)
		return false
	}
	t.hasPending.Store(t.pending.Len() > 0)
	t.mu.Unlock()
	return observed && !answered
}

// InstanceLost records that the instance has ended under the request. The requests whose
// attempts there ended shortly before become suspects too. It broadcasts them before it returns,
// within the context, so that the other hosts have them before the caller can retry the request.
func (a *Attempt) InstanceLost(ctx context.Context) {
	a.settled = true
	t, now := a.tracker, time.Now()
	attempt := evidence.NewAttempt(uint64(a.fp), a.instance, rand.Uint64(), a.began, now, true)
	t.mu.Lock()
	lost := t.pending.End(a.instance, now)
	if !t.answers.since(a.fp, a.began) {
		lost = append(lost, attempt)
	}
	messages := t.lose(lost, now)
	t.mu.Unlock()
	if len(messages) > 0 {
		t.broadcast(ctx, messages)
	}
}

// End ends the attempt. Unless it is known how it ended, it is one without a response. It is
// idempotent and accepts a nil receiver.
func (a *Attempt) End() {
	if a == nil || a.ended {
		return
	}
	a.ended = true
	if !a.settled {
		a.interrupt(false)
	}
	if a.exclusive {
		<-a.tracker.exclusive
	}
}
