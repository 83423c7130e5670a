package poison

import (
	"context"
	"time"

	"github.com/snipebeam/snipebeam/world/evidence"
	"github.com/snipebeam/snipebeam/world/wire"
)

// tellTimeout bounds a broadcast that no caller waits for.
const tellTimeout = 250 * time.Millisecond

// InstanceEnded records that an incarnation of an instance has ended, however that became
// known: no process accepts connections at its address, or a later one has announced itself. The
// requests whose attempts there ended without a response become suspects.
func (t *Tracker) InstanceEnded(instance string) {
	now := time.Now()
	t.mu.Lock()
	messages := t.lose(t.pending.End(instance, now), now)
	t.mu.Unlock()
	t.tell(messages)
}

// InstanceSurvived records that an instance responded on a connection that was opened at a
// time, or that this connection is still open.
func (t *Tracker) InstanceSurvived(instance string, opened time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending.Survive(instance, opened, time.Now())
	t.hasPending.Store(t.pending.Len() > 0)
}

// Awaits reports whether a connection to an instance closed under a request and it is not known
// yet whether the instance has ended.
func (t *Tracker) Awaits(instance string) bool {
	if !t.hasPending.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending.Expire(time.Now())
	return t.pending.Awaits(instance)
}

// lose adds the losses under attempts, and returns the messages of those that are new.
func (t *Tracker) lose(attempts []*evidence.Attempt, now time.Time) []*wire.Suspect {
	t.hasPending.Store(t.pending.Len() > 0)
	var fps []Fingerprint
	var names []string
	for _, a := range attempts {
		fp := Fingerprint(a.Fingerprint())
		if t.answers.since(fp, a.Began()) || t.book.AddLoss(a.Fingerprint(), a.Instance(), a.At()) != evidence.Added {
			continue
		}
		fps, names = append(fps, fp), append(names, fp.String())
		t.changed[fp] = now
	}
	if len(fps) == 0 {
		return nil
	}
	lossesTotal.Inc()
	t.logger.Info("instance lost under requests", "instance", attempts[0].Instance(), "fingerprints", names)
	t.judge(now)
	return t.messages(fps, now)
}

// tell broadcasts suspects while no caller waits, one broadcast after the other.
func (t *Tracker) tell(messages []*wire.Suspect) {
	if len(messages) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.untold = append(t.untold, messages...)
	if !t.telling {
		t.telling = true
		go t.tellAll()
	}
}

func (t *Tracker) tellAll() {
	for {
		t.mu.Lock()
		messages := t.untold
		t.untold, t.telling = nil, len(messages) > 0
		t.mu.Unlock()
		if len(messages) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		t.broadcast(ctx, messages)
		cancel()
	}
}

// excuse excuses the known losses under a request and drops its attempts without a response.
func (t *Tracker) excuse(fp Fingerprint, instance string, now time.Time) {
	if !t.hasSuspects.Load() && !t.hasPending.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending.Excuse(uint64(fp))
	t.hasPending.Store(t.pending.Len() > 0)
	if _, refused := t.refused[fp]; refused || t.book.Excuse(uint64(fp)) == evidence.Unchanged {
		return
	}
	excusesTotal.Inc()
	t.logger.Info("losses are excused by a response", "fingerprint", fp.String(), "instance", instance)
	t.changed[fp] = now
	t.judge(now) // it no longer explains the losses of other requests
}
