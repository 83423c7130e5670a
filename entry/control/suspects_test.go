package control

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/wire"
)

func suspect(fingerprint uint64, ageMs int64, instances ...string) *wire.Suspect {
	s := &wire.Suspect{Fingerprint: fingerprint}
	for _, id := range instances {
		s.Losses = append(s.Losses, &wire.Loss{Instance: id, AgeMs: ageMs})
	}
	return s
}

// Guards against reports that repeat what a control host knows with every poll, and against
// a change that it does not get.
func TestSuspectIsReportedAgainOnlyIfItChanged(t *testing.T) {
	w, host, now := &Watch{}, &polledHost{}, time.Unix(1000, 0)
	poll := func(err error, all ...*wire.Suspect) int {
		sent := w.unreportedSuspects(host, all, now)
		w.recordSuspects(host, sent, now, err)
		now = now.Add(time.Second)
		return len(sent)
	}
	must.Eq(t, 2, poll(nil, suspect(1, 10, "a"), suspect(2, 10, "a")))
	must.Eq(t, 0, poll(nil, suspect(1, 1010, "a"), suspect(2, 1010, "a")))
	must.Eq(t, 1, poll(nil, suspect(1, 2010, "a", "b"), suspect(2, 2010, "a")))
	excused := suspect(2, 3010, "a")
	excused.Losses[0].Excused = true
	must.Eq(t, 1, poll(nil, suspect(1, 3010, "a", "b"), excused))
	excused.Unconfirmed = []*wire.Loss{{Instance: "c", Attempt: 7}}
	must.Eq(t, 1, poll(nil, excused))
	must.Eq(t, 0, poll(nil, excused))
}

// A control host that restarted knows no suspects, and one that did not answer may not have
// received them.
func TestSuspectsAreReportedAgainAfterAFailedPoll(t *testing.T) {
	w, host, now := &Watch{}, &polledHost{}, time.Unix(1000, 0)
	all := []*wire.Suspect{suspect(1, 10, "a")}
	w.recordSuspects(host, all, now, nil)
	must.Len(t, 0, w.unreportedSuspects(host, all, now))
	w.recordSuspects(host, nil, now, errors.New("closed"))
	must.Len(t, 1, w.unreportedSuspects(host, all, now))
	w.recordSuspects(host, all, now, errors.New("timed out"))
	must.Len(t, 1, w.unreportedSuspects(host, all, now))
}

// What a control host lost without a failed poll comes again after a while.
func TestSuspectsAreRepeatedAfterAWhile(t *testing.T) {
	w, host, now := &Watch{}, &polledHost{}, time.Unix(1000, 0)
	all := []*wire.Suspect{suspect(1, 10, "a")}
	w.recordSuspects(host, all, now, nil)
	must.Len(t, 0, w.unreportedSuspects(host, all, now.Add(repeatSuspectsAfter-1)))
	must.Len(t, 1, w.unreportedSuspects(host, all, now.Add(repeatSuspectsAfter)))
	w.recordSuspects(host, nil, now.Add(repeatSuspectsAfter), nil)
	must.MapEmpty(t, host.reported)
}
