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

func terms(string) backlog.AlarmConfig {
	return backlog.AlarmConfig{
		Owner: "Comptoir", Reason: "lookups", Limits: backlog.Limits{Slots: 30},
		Slots: func(instance.ID) int { return 3 },
	}
}

func TestStayMovesFromQueueToInstanceToEnd(t *testing.T) {
	book := backlog.NewTracker()
	stay := book.Track("catalogue", begin)
	line := book.Services(begin.Add(time.Second))[0]
	must.Eq(t, 1, line.GetQueued())
	must.Eq(t, int64(time.Second), line.GetOldestNs())

	stay.Dispatched("catalogue-1", begin)
	stay.Sent(begin)
	line = book.Services(begin)[0]
	must.Eq(t, 0, line.GetQueued())
	must.Eq(t, 1, line.GetInFlight())

	stay.End(false, begin)
	stay.End(false, begin)
	n, _ := book.InFlight(begin)
	must.Zero(t, n)
}

// drive sends a request to one instance every interval for a time; the
// instance answers none of them.
func drive(book *backlog.Tracker, watch *backlog.Monitor, from time.Time, d, interval time.Duration, sent bool) {
	next := from
	for now := from; now.Before(from.Add(d)); now = now.Add(backlog.SampleInterval) {
		for next.Before(now) {
			stay := book.Track("catalogue", next)
			stay.Dispatched("catalogue-1", next)
			if sent {
				stay.Sent(next)
			}
			next = next.Add(interval)
		}
		watch.Sample(now)
	}
}

func growing(book *backlog.Tracker, now time.Time) []*wire.ServiceBacklog {
	var all []*wire.ServiceBacklog
	for _, line := range book.Services(now) {
		if line.GetGrowing() {
			all = append(all, line)
		}
	}
	return all
}

func TestAnInstanceThatStopsAnsweringIsSeenWithItsOwner(t *testing.T) {
	book := backlog.NewTracker()
	watch := backlog.NewMonitor(book, terms, hclog.NewNullLogger())
	drive(book, watch, begin, 2*time.Second, 5*time.Millisecond, true)
	found := growing(book, begin.Add(2*time.Second))
	must.SliceNotEmpty(t, found)
	must.Eq(t, "Comptoir", found[0].GetOwner())
	must.Eq(t, "catalogue-1", found[len(found)-1].GetInstance())
}

func TestUploadsOnTheirWayAreNoBacklog(t *testing.T) {
	book := backlog.NewTracker()
	watch := backlog.NewMonitor(book, terms, hclog.NewNullLogger())
	drive(book, watch, begin, 5*time.Second, 5*time.Millisecond, false)
	must.SliceEmpty(t, growing(book, begin.Add(5*time.Second)))
}

func TestAnAlarmOutlivesARestartAndClearsWhenCalm(t *testing.T) {
	before := backlog.NewTracker()
	drive(before, backlog.NewMonitor(before, terms, hclog.NewNullLogger()), begin, 2*time.Second, 5*time.Millisecond, true)

	after := backlog.NewTracker()
	after.RestoreAlarms(before.Services(begin.Add(2 * time.Second)))
	watch := backlog.NewMonitor(after, terms, hclog.NewNullLogger())
	restarted := begin.Add(3 * time.Second)
	watch.Sample(restarted)
	must.SliceNotEmpty(t, growing(after, restarted))
	for now := restarted; now.Before(restarted.Add(10 * time.Second)); now = now.Add(backlog.SampleInterval) {
		watch.Sample(now)
	}
	must.SliceEmpty(t, growing(after, restarted.Add(10*time.Second)))
}
