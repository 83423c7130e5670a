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

// AlarmConfig tell what a service's backlog is held against and who owns it.
type AlarmConfig struct {
	Owner  string
	Reason string
	Limits Limits // Slots of the whole service
	Slots  func(id instance.ID) int
}

// Monitor samples a book and raises alarms.
type Monitor struct {
	book   *Tracker
	terms  func(service string) AlarmConfig
	logger hclog.Logger
}

// NewMonitor returns a watch; terms are asked for at each sample.
func NewMonitor(book *Tracker, terms func(service string) AlarmConfig, logger hclog.Logger) *Monitor {
	return &Monitor{book: book, terms: terms, logger: logger.Named("backlog")}
}

// Run samples until the context ends.
func (w *Monitor) Run(ctx context.Context) {
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
func (w *Monitor) Sample(now time.Time) {
	for _, a := range w.book.all() {
		w.sample(a, w.terms(a.service), now)
	}
}

func (w *Monitor) sample(a *account, terms AlarmConfig, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latency.refresh(now)
	s := a.whole.sample(now)
	s.OldestAge, s.ResponseP99 = a.awaitingAge(now), a.latency.p99
	a.discount(&s)
	w.settle(&a.whole, a.service, "", terms, s, terms.Limits)
	for id, i := range a.instances {
		one := i.ledger.sample(now)
		one.OldestAge, one.ResponseP99 = i.awaiting.age(now), a.latency.p99
		one.Pending, one.MinPending = min(one.Pending, i.awaiting.n), min(one.MinPending, i.awaiting.n)
		w.settle(&i.ledger, a.service, id, terms, one, Limits{Slots: terms.Slots(id)})
		a.forget(id, i, now)
	}
}

// discount leaves out requests whose body is on its way.
func (a *account) discount(s *Sample) {
	s.Pending = max(s.Pending-a.moving.n, 0)
	s.MinPending = min(s.MinPending, s.Pending)
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
func (w *Monitor) settle(l *ledger, service string, id instance.ID, terms AlarmConfig, s Sample, limits Limits) {
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

func (w *Monitor) fields(l *ledger, service string, id instance.ID, s Sample) []any {
	return []any{
		"service", service, "instance", string(id), "owner", l.alarm.Owner, "why", l.alarm.Reason,
		"cause", string(l.alarm.Cause), "since", l.alarm.Since, "present", s.Pending, "oldestMs", s.OldestAge.Milliseconds(),
		"arrivalsPerS", l.rates.arrivals, "completionsPerS", l.rates.completions,
	}
}

// RestoreAlarms takes over the alarms of this host's last report before a restart.
func (b *Tracker) RestoreAlarms(lines []*wire.ServiceBacklog) {
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
	l.detector.Restore(Cause(line.GetCause()), since)
	l.alarm = &Alarm{Cause: Cause(line.GetCause()), Since: since, Owner: line.GetOwner(), Reason: line.GetReason()}
}
