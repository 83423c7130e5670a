package control

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/snipebeam/snipebeam/world/wire"
)

// repeatSuspectsAfter is the time after which a suspect is reported to a control host again
// although nothing about it has changed.
const repeatSuspectsAfter = 10 * time.Second

// reportedSuspects are the suspects that a control host has received. Every poll carried all
// of them: up to 64, most of the bytes between entry and control hosts while instances are
// lost.
type reportedSuspects map[uint64]reportedSuspect // by fingerprint

type reportedSuspect struct {
	content uint64
	at      time.Time
}

// unreported returns the suspects that the control host lacks, or that it received long ago.
func (r reportedSuspects) unreported(all []*wire.Suspect, now time.Time) []*wire.Suspect {
	var news []*wire.Suspect
	for _, s := range all {
		old, known := r[s.GetFingerprint()]
		if !known || old.content != suspectContent(s) || now.Sub(old.at) >= repeatSuspectsAfter {
			news = append(news, s)
		}
	}
	return news
}

// add records suspects that the control host received, and forgets those of long ago.
func (r reportedSuspects) add(received []*wire.Suspect, now time.Time) {
	for fingerprint, old := range r {
		if now.Sub(old.at) >= repeatSuspectsAfter {
			delete(r, fingerprint)
		}
	}
	for _, s := range received {
		r[s.GetFingerprint()] = reportedSuspect{content: suspectContent(s), at: now}
	}
}

// suspectContent returns a digest of all that is known of a suspect but the ages of its
// losses, which grow.
func suspectContent(s *wire.Suspect) uint64 {
	d := xxhash.New()
	for kind, losses := range [][]*wire.Loss{s.GetLosses(), s.GetUnconfirmed()} {
		for _, loss := range losses {
			var fixed [10]byte
			fixed[0] = byte(kind)
			if loss.GetExcused() {
				fixed[1] = 1
			}
			binary.LittleEndian.PutUint64(fixed[2:], loss.GetAttempt())
			_, _ = d.Write(fixed[:])
			_, _ = d.WriteString(loss.GetInstance() + "\x00")
		}
	}
	for _, id := range s.GetInstances() {
		_, _ = d.WriteString(id + "\x00")
	}
	return d.Sum64()
}

// unreportedSuspects returns the suspects that the report to a control host carries.
func (w *Watch) unreportedSuspects(host *polledHost, all []*wire.Suspect, now time.Time) []*wire.Suspect {
	w.mu.Lock()
	defer w.mu.Unlock()
	return host.reported.unreported(all, now)
}

// recordSuspects records that a poll brought suspects to a control host. A failed poll may
// mean that the host has restarted and knows none any more.
func (w *Watch) recordSuspects(host *polledHost, sent []*wire.Suspect, now time.Time, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		host.reported = nil
		return
	}
	if host.reported == nil {
		host.reported = reportedSuspects{}
	}
	host.reported.add(sent, now)
}
