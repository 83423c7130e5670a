package poison

import (
	"context"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Attempt is one request while it is at an instance. It is used by one
// goroutine.
type Attempt struct {
	book     *Tracker
	fp       Fingerprint
	instance string
	trial    bool // holds the right to run as the only suspect
	left     bool
}

// Begin records that a request goes to an instance. A suspect first waits, for
// a bounded time, until no other suspect runs.
func (b *Tracker) Begin(ctx context.Context, fp Fingerprint, instance string) *Attempt {
	f := &Attempt{book: b, fp: fp, instance: instance}
	if b.any.Load() && b.suspected(fp) {
		f.trial = b.waitForTrial(ctx)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.flights[instance] == nil {
		b.flights[instance] = map[*Attempt]struct{}{}
	}
	b.flights[instance][f] = struct{}{}
	return f
}

func (b *Tracker) suspected(fp Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects[fp] != nil
}

func (b *Tracker) waitForTrial(ctx context.Context) bool {
	timer := time.NewTimer(trialWait)
	defer timer.Stop()
	select {
	case b.trial <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

// Answered clears the request: an instance has run it and lived.
func (f *Attempt) Answered() {
	b := f.book
	if !b.any.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[f.fp]; s != nil && s.refusedUntil.IsZero() {
		delete(b.suspects, f.fp)
		b.any.Store(len(b.suspects) > 0)
	}
}

// InstanceLost records that the instance was lost. Everything that was in flight
// there becomes a suspect, and the other hosts know it when Lost returns or
// the context ends, before the caller can send the request again.
func (f *Attempt) InstanceLost(ctx context.Context) {
	lossesN.Inc()
	f.book.share(ctx, f.book.lose(f.instance, time.Now()))
}

func (b *Tracker) lose(instance string, now time.Time) []*wire.Suspect {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteLoss(instance, now)
	prints := map[Fingerprint]struct{}{}
	for f := range b.flights[instance] {
		prints[f.fp] = struct{}{}
	}
	for fp := range prints {
		b.note(fp, instance, now)
	}
	b.pardon(now)
	var messages []*wire.Suspect
	for fp := range prints {
		if s := b.suspects[fp]; s != nil {
			messages = append(messages, s.message(fp))
		}
	}
	return messages
}

// End ends the flight. Later calls do nothing.
func (f *Attempt) End() {
	if f == nil || f.left {
		return
	}
	f.left = true
	b := f.book
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.flights[f.instance], f)
	if len(b.flights[f.instance]) == 0 {
		delete(b.flights, f.instance)
	}
	if f.trial {
		<-b.trial
	}
}
