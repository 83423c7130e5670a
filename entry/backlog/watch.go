package backlog

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Alarm says that a backlog grows or stands, and whose it is.
type Alarm struct {
	Cause  Cause
	Since  time.Time
	Owner  string
	Reason string
}

// Terms tell what a service's backlog is held against and who owns it.
type Terms struct {
	Owner  string
	Reason string
	Limits Limits // Slots of the whole service
	Slots  func(id instance.ID) int
}

// Watch samples a book and raises alarms.
type Watch struct {
	book   *Book
	terms  func(service string) Terms
	logger hclog.Logger
}

// NewWatch returns a watch; terms are asked for at each sample.
func NewWatch(book *Book, terms func(service string) Terms, logger hclog.Logger) *Watch {
	return &Watch{book: book, terms: terms, logger: logger.Named("backlog")}
}

// Run samples until the context ends.
func (w *Watch) Run(ctx context.Context) {
	ticker := time.NewTicker(SampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.Sample(now)
		}
	}
}

// Sample takes one sample of every account.
func (w *Watch) Sample(now time.Time) {
	for _, a := range w.book.all() {
		w.sample(a, w.terms(a.service), now)
	}
}

func (w *Watch) sample(a *account, terms Terms, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latency.refresh(now)
	s := a.whole.sample(now)
	s.Oldest, s.Typical = a.awaitingAge(now), a.latency.p99
	a.discount(&s)
	w.settle(&a.whole, a.service, "", terms, s, terms.Limits)
	for id, i := range a.instances {
		one := i.ledger.sample(now)
		one.Oldest, one.Typical = i.awaiting.age(now), a.latency.p99
		one.Present, one.Floor = min(one.Present, i.awaiting.n), min(one.Floor, i.awaiting.n)
		w.settle(&i.ledger, a.service, id, terms, one, Limits{Slots: terms.Slots(id)})
		a.forget(id, i, now)
	}
}

// discount leaves out requests whose body is on its way.
func (a *account) discount(s *Sample) {
	s.Present = max(s.Present-a.moving.n, 0)
	s.Floor = min(s.Floor, s.Present)
}

// forgetAfter is how long an instance without requests is remembered.
const forgetAfter = time.Minute

func (a *account) forget(id instance.ID, i *instanceAccount, now time.Time) {
	if i.ledger.present > 0 || i.ledger.alarm != nil {
		i.ledger.idleFrom = time.Time{}
		return
	}
	if i.ledger.idleFrom.IsZero() {
		i.ledger.idleFrom = now
	}
	if now.Sub(i.ledger.idleFrom) >= forgetAfter {
		delete(a.instances, id)
	}
}

// settle runs the detector and tells when an alarm begins or ends.
func (w *Watch) settle(l *ledger, service string, id instance.ID, terms Terms, s Sample, limits Limits) {
	cause, since := l.detector.Observe(s, limits)
	switch {
	case cause != "" && l.alarm == nil:
		l.alarm = &Alarm{Cause: cause, Since: since, Owner: terms.Owner, Reason: terms.Reason}
		w.logger.Warn("backlog grows", w.fields(l, service, id, s)...)
	case cause == "" && l.alarm != nil:
		w.logger.Info("backlog cleared", w.fields(l, service, id, s)...)
		l.alarm = nil
	}
}

func (w *Watch) fields(l *ledger, service string, id instance.ID, s Sample) []any {
	return []any{
		"service", service, "instance", string(id), "owner", l.alarm.Owner, "why", l.alarm.Reason,
		"cause", string(l.alarm.Cause), "since", l.alarm.Since, "present", s.Present, "oldestMs", s.Oldest.Milliseconds(),
		"arrivalsPerS", l.rates.arrivals, "completionsPerS", l.rates.completions,
	}
}

// Adopt takes over the alarms of this host's last report before a restart.
func (b *Book) Adopt(lines []*wire.ServiceBacklog) {
	for _, line := range lines {
		if line.GetGrowing() {
			b.account(line.GetService()).adopt(line)
		}
	}
}

func (a *account) adopt(line *wire.ServiceBacklog) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := &a.whole
	if id := line.GetInstance(); id != "" {
		l = &a.instance(instance.ID(id)).ledger
	}
	since := time.Unix(0, line.GetSince())
	l.detector.Adopt(Cause(line.GetCause()), since)
	l.alarm = &Alarm{Cause: Cause(line.GetCause()), Since: since, Owner: line.GetOwner(), Reason: line.GetReason()}
}
