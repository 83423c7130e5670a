// Package evidence holds which instances were lost while which requests were in flight
// there, as entry hosts report it and control hosts pass it on.
//
// Hosts send each other all that they know, often and in any order. The meaning of a
// message therefore does not depend on when or how often it comes: a loss is identified by
// the incarnation of its instance, the earliest of its known times holds, and an excuse is
// never taken back. Messages state the age of a loss, not the time of day, and their delay only
// makes a loss look younger until an earlier statement of it comes.
//
// A loss has two parts, which become known at any time, in any order and to different processes:
// an attempt that ended without a response, and that its instance has ended. A Pending joins them.
//
// Usage:
//
//	pending := evidence.NewPending()
//	if pending.Add(attempt, now) { ... } // the instance is known to have ended
//	for _, attempt := range pending.End("i-1/7", now) { ... }
//	book := evidence.NewBook()
//	book.AddLoss(fingerprint, "i-1/7", now)
//	book.Excuse(fingerprint) // an instance has responded to the request
//	for _, m := range received { book.Merge(m, now) }
//	for _, loss := range book.Record(fingerprint).Open() { ... }
//
// A Book is not safe for concurrent use.
package evidence

import (
	"slices"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Limits of a book.
const (
	Lifetime   = time.Hour // of a loss
	MaxRecords = 1024
	maxLosses  = 64 // of one request
)

// Book holds the records of requests by their fingerprints. When it is full, the records
// with the fewest losses that are not excused give way to others, the oldest of these first.
type Book struct {
	records map[uint64]*Record
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{records: map[uint64]*Record{}} }

// Len returns the number of records.
func (b *Book) Len() int { return len(b.records) }

// Record returns the record of a request, nil for none.
func (b *Book) Record(fingerprint uint64) *Record { return b.records[fingerprint] }

// AddLoss adds the loss of an instance under a request.
func (b *Book) AddLoss(fingerprint uint64, instance string, now time.Time) Change {
	return b.add(fingerprint, []Loss{{instance: instance, at: now}}, now)
}

// Excuse excuses the known losses under a request.
func (b *Book) Excuse(fingerprint uint64) Change {
	if r := b.records[fingerprint]; r != nil {
		return r.excuse()
	}
	return Unchanged
}

// Merge adds what another process knows of a request.
func (b *Book) Merge(m *wire.Suspect, now time.Time) Change {
	return b.add(m.GetFingerprint(), lossesOf(m, now), now)
}

func (b *Book) add(fingerprint uint64, losses []Loss, now time.Time) Change {
	losses = slices.DeleteFunc(losses, func(l Loss) bool { return l.instance == "" || now.Sub(l.at) > Lifetime })
	if len(losses) == 0 {
		return Unchanged
	}
	r := b.records[fingerprint]
	if r == nil {
		r = &Record{}
	}
	change := Unchanged
	for _, l := range losses {
		if _, known := r.losses[l.instance]; known || len(r.losses) < maxLosses {
			change = max(change, r.add(l))
		}
	}
	if b.records[fingerprint] == nil && !b.insert(fingerprint, r, now) {
		return Unchanged
	}
	return change
}

// insert adds a record if there is room or a less important one.
func (b *Book) insert(fingerprint uint64, r *Record, now time.Time) bool {
	if len(b.records) >= MaxRecords {
		b.Expire(now)
	}
	if len(b.records) >= MaxRecords {
		least := b.least()
		if compareRank(fingerprint, r, least, b.records[least]) > 0 {
			return false
		}
		delete(b.records, least)
	}
	b.records[fingerprint] = r
	return true
}

func (b *Book) least() uint64 {
	var least uint64
	var found *Record
	for fingerprint, r := range b.records {
		if found == nil || compareRank(fingerprint, r, least, found) > 0 {
			least, found = fingerprint, r
		}
	}
	return least
}

// Expire drops the records whose losses are all older than Lifetime.
func (b *Book) Expire(now time.Time) {
	for fingerprint, r := range b.records {
		if now.Sub(r.latest) > Lifetime {
			delete(b.records, fingerprint)
		}
	}
}

// Suspected returns the fingerprints of the records with at least n losses that are not
// excused, the most important first.
func (b *Book) Suspected(n int) []uint64 {
	var all []uint64
	for fingerprint, r := range b.records {
		if r.open >= n {
			all = append(all, fingerprint)
		}
	}
	slices.SortFunc(all, func(a, c uint64) int { return compareRank(a, b.records[a], c, b.records[c]) })
	return all
}

func compareRank(a uint64, ra *Record, c uint64, rc *Record) int {
	switch {
	case ra.open != rc.open:
		return rc.open - ra.open
	case !ra.latest.Equal(rc.latest):
		return rc.latest.Compare(ra.latest)
	case a < c:
		return -1
	}
	return 1
}
