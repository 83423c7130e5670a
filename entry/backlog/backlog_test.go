package backlog_test

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func config(string) backlog.AlarmConfig {
	return backlog.AlarmConfig{
		Owner: "Comptoir", Reason: "lookups", Limits: backlog.Limits{Slots: 30},
		Slots: func(instance.ID) int { return 3 },
	}
}

func TestRequestMovesFromQueueToInstanceToEnd(t *testing.T) {
	tracker := backlog.NewTracker()
	req := tracker.Track("catalogue", begin)
	msg := tracker.Services(begin.Add(time.Second))[0]
	must.Eq(t, 1, msg.GetQueued())
	must.Eq(t, int64(time.Second), msg.GetOldestNs())

	req.Dispatched("catalogue-1", begin)
	req.Sent(begin)
	msg = tracker.Services(begin)[0]
	must.Eq(t, 0, msg.GetQueued())
	must.Eq(t, 1, msg.GetInFlight())

	req.End(false, begin)
	req.End(false, begin)
	n, _ := tracker.InFlight(begin)
	must.Zero(t, n)
}

// drive dispatches a request to one instance at every interval for the duration
// d. The instance responds to none of them.
func drive(tracker *backlog.Tracker, monitor *backlog.Monitor, from time.Time, d, interval time.Duration, sent bool) {
	next := from
	for now := from; now.Before(from.Add(d)); now = now.Add(backlog.SampleInterval) {
		for next.Before(now) {
			req := tracker.Track("catalogue", next)
			req.Dispatched("catalogue-1", next)
			if sent {
				req.Sent(next)
			}
			next = next.Add(interval)
		}
		monitor.Sample(now)
	}
}

func growing(tracker *backlog.Tracker, now time.Time) []*wire.ServiceBacklog {
	var all []*wire.ServiceBacklog
	for _, msg := range tracker.Services(now) {
		if msg.GetGrowing() {
			all = append(all, msg)
		}
	}
	return all
}

func TestUnresponsiveInstanceRaisesAlarmWithOwner(t *testing.T) {
	tracker := backlog.NewTracker()
	monitor := backlog.NewMonitor(tracker, config, hclog.NewNullLogger())
	drive(tracker, monitor, begin, 2*time.Second, 5*time.Millisecond, true)
	found := growing(tracker, begin.Add(2*time.Second))
	must.SliceNotEmpty(t, found)
	must.Eq(t, "Comptoir", found[0].GetOwner())
	must.Eq(t, "catalogue-1", found[len(found)-1].GetInstance())
}

func TestUploadsInProgressAreNoBacklog(t *testing.T) {
	tracker := backlog.NewTracker()
	monitor := backlog.NewMonitor(tracker, config, hclog.NewNullLogger())
	drive(tracker, monitor, begin, 5*time.Second, 5*time.Millisecond, false)
	must.SliceEmpty(t, growing(tracker, begin.Add(5*time.Second)))
}

func TestAlarmSurvivesRestartAndClears(t *testing.T) {
	before := backlog.NewTracker()
	drive(before, backlog.NewMonitor(before, config, hclog.NewNullLogger()), begin, 2*time.Second, 5*time.Millisecond, true)

	after := backlog.NewTracker()
	after.RestoreAlarms(before.Services(begin.Add(2 * time.Second)))
	monitor := backlog.NewMonitor(after, config, hclog.NewNullLogger())
	restarted := begin.Add(3 * time.Second)
	monitor.Sample(restarted)
	must.SliceNotEmpty(t, growing(after, restarted))
	for now := restarted; now.Before(restarted.Add(10 * time.Second)); now = now.Add(backlog.SampleInterval) {
		monitor.Sample(now)
	}
	must.SliceEmpty(t, growing(after, restarted.Add(10*time.Second)))
}
