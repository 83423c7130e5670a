package backlog

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Alarm is a growing or standing backlog, with the owner of the service.
type Alarm struct {
	Cause  Cause
	Since  time.Time
	Owner  string
	Reason string
}

// AlarmConfig is the owner of a service and the limits of its backlog.
type AlarmConfig struct {
	Owner  string
	Reason string
	Limits Limits // with the slots of the whole service
	Slots  func(id instance.ID) int
}

// Monitor samples a tracker and raises alarms.
type Monitor struct {
	tracker *Tracker
	config  func(service string) AlarmConfig
	logger  hclog.Logger
}

// NewMonitor returns a monitor. It calls config for each service at each sample.
func NewMonitor(tracker *Tracker, config func(service string) AlarmConfig, logger hclog.Logger) *Monitor {
	return &Monitor{tracker: tracker, config: config, logger: logger.Named("backlog")}
}

// Run samples until the context is cancelled.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(SampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.Sample(now)
		}
	}
}

// Sample takes one sample of every service.
func (m *Monitor) Sample(now time.Time) {
	for _, t := range m.tracker.sorted() {
		m.sample(t, m.config(t.name), now)
	}
}

func (m *Monitor) sample(t *serviceTracker, cfg AlarmConfig, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latency.refresh(now)
	s := t.stats.sample(now)
	s.OldestAge, s.ResponseP99 = t.awaitingAge(now), t.latency.p99
	t.excludeTransferring(&s)
	m.updateAlarm(&t.stats, t.name, "", cfg, s, cfg.Limits)
	for id, i := range t.instances {
		sampled := i.stats.sample(now)
		sampled.OldestAge, sampled.ResponseP99 = i.awaiting.age(now), t.latency.p99
		sampled.Pending, sampled.MinPending = min(sampled.Pending, i.awaiting.n), min(sampled.MinPending, i.awaiting.n)
		m.updateAlarm(&i.stats, t.name, id, cfg, sampled, Limits{Slots: cfg.Slots(id)})
		t.evictIdle(id, i, now)
	}
}

// excludeTransferring subtracts the requests whose body is being transferred.
func (t *serviceTracker) excludeTransferring(s *Sample) {
	s.Pending = max(s.Pending-t.transferring.n, 0)
	s.MinPending = min(s.MinPending, s.Pending)
}

// idleInstanceTTL is how long an instance without requests is retained.
const idleInstanceTTL = time.Minute

func (t *serviceTracker) evictIdle(id instance.ID, i *instanceTracker, now time.Time) {
	if i.stats.pending > 0 || i.stats.alarm != nil {
		i.stats.idleSince = time.Time{}
		return
	}
	if i.stats.idleSince.IsZero() {
		i.stats.idleSince = now
	}
	if now.Sub(i.stats.idleSince) >= idleInstanceTTL {
		delete(t.instances, id)
	}
}

// updateAlarm runs the detector and logs when an alarm is raised or cleared.
func (m *Monitor) updateAlarm(st *stats, service string, id instance.ID, cfg AlarmConfig, s Sample, limits Limits) {
	cause, since := st.detector.Observe(s, limits)
	switch {
	case cause != "" && st.alarm == nil:
		st.alarm = &Alarm{Cause: cause, Since: since, Owner: cfg.Owner, Reason: cfg.Reason}
		m.logger.Warn("backlog grows", m.logFields(st, service, id, s)...)
	case cause == "" && st.alarm != nil:
		m.logger.Info("backlog cleared", m.logFields(st, service, id, s)...)
		st.alarm = nil
	}
}

func (m *Monitor) logFields(st *stats, service string, id instance.ID, s Sample) []any {
	return []any{
		"service", service, "instance", string(id), "owner", st.alarm.Owner, "why", st.alarm.Reason,
		"cause", string(st.alarm.Cause), "since", st.alarm.Since, "present", s.Pending, "oldestMs", s.OldestAge.Milliseconds(),
		"arrivalsPerS", st.rates.arrivals, "completionsPerS", st.rates.completions,
	}
}

// RestoreAlarms restores the alarms of the last report that this host sent
// before a restart.
func (t *Tracker) RestoreAlarms(msgs []*wire.ServiceBacklog) {
	for _, msg := range msgs {
		if msg.GetGrowing() {
			t.service(msg.GetService()).restoreAlarm(msg)
		}
	}
}

func (t *serviceTracker) restoreAlarm(msg *wire.ServiceBacklog) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := &t.stats
	if id := msg.GetInstance(); id != "" {
		st = &t.instance(instance.ID(id)).stats
	}
	since := time.Unix(0, msg.GetSince())
	st.detector.Restore(Cause(msg.GetCause()), since)
	st.alarm = &Alarm{Cause: Cause(msg.GetCause()), Since: since, Owner: msg.GetOwner(), Reason: msg.GetReason()}
}
