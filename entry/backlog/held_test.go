package backlog_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/backlog"
)

func TestHeldRequestsNameTheirPhaseAndInstanceOldestFirst(t *testing.T) {
	tracker := backlog.NewTracker()
	track := func(id, service string, after time.Duration) *backlog.Request {
		r := tracker.Track(service, begin.Add(after))
		r.SetID(id)
		return r
	}
	responding := track("d", "catalogue", 3*time.Second)
	awaiting := track("c", "catalogue", 2*time.Second)
	receiving := track("b", "orders", time.Second)
	track("a", "orders", 0)
	ended := track("e", "orders", 0)
	for _, r := range []*backlog.Request{responding, awaiting, receiving, ended} {
		r.Dispatched("i-1", begin)
	}
	awaiting.Sent(begin)
	responding.Sent(begin)
	responding.ResponseStarted(begin.Add(4 * time.Second))
	ended.End(false, begin)

	must.Eq(t, []backlog.Held{
		{ID: "a", Service: "orders", Phase: backlog.Queued, Age: 5 * time.Second},
		{ID: "b", Service: "orders", Instance: "i-1", Phase: backlog.Receiving, Age: 4 * time.Second},
		{ID: "c", Service: "catalogue", Instance: "i-1", Phase: backlog.Awaiting, Age: 3 * time.Second},
		{ID: "d", Service: "catalogue", Instance: "i-1", Phase: backlog.Responding, Age: 2 * time.Second},
	}, tracker.Held(begin.Add(5*time.Second)))
}

func TestPhaseFollowsARequestThatIsSentAgain(t *testing.T) {
	tracker := backlog.NewTracker()
	r := tracker.Track("catalogue", begin)
	check := func(want backlog.Phase) {
		t.Helper()
		held := tracker.Held(begin)
		must.Len(t, 1, held)
		must.Eq(t, want, held[0].Phase)
	}
	r.Dispatched("i-1", begin)
	r.Sent(begin)
	r.ResponseStarted(begin) // a refusal
	check(backlog.Responding)
	r.Requeue(begin)
	check(backlog.Queued)
	r.Dispatched("i-2", begin)
	check(backlog.Receiving)
	r.Sent(begin)
	check(backlog.Awaiting)
}

func TestEarlyResponseStaysAResponseWhenTheUploadEnds(t *testing.T) {
	tracker := backlog.NewTracker()
	r := tracker.Track("catalogue", begin)
	r.Dispatched("i-1", begin)
	r.ResponseStarted(begin)
	r.Sent(begin)
	must.Eq(t, backlog.Responding, tracker.Held(begin)[0].Phase)
}
