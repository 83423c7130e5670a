package poison

import (
	"sync/atomic"
	"time"
)

// answerSlots is the number of requests whose last response is remembered.
const answerSlots = 1 << 13

// answers holds when requests had their last response, for losses that become known later. A
// request takes the slot of another one with the same low bits.
type answers struct {
	started time.Time
	slots   [answerSlots]atomic.Uint64 // upper bits of the fingerprint, and milliseconds since the start
}

const (
	answerTimeBits = 36 // two years of milliseconds
	answerTimeMask = 1<<answerTimeBits - 1
)

func newAnswers() *answers { return &answers{started: time.Now()} }

func (a *answers) record(fp Fingerprint, at time.Time) {
	a.slots[uint64(fp)%answerSlots].Store(uint64(fp)&^answerTimeMask | a.millis(at))
}

// since reports whether a request had a response after a time, to the millisecond.
func (a *answers) since(fp Fingerprint, at time.Time) bool {
	slot := a.slots[uint64(fp)%answerSlots].Load()
	if slot == 0 || slot&^answerTimeMask != uint64(fp)&^answerTimeMask {
		return false
	}
	later := (slot - a.millis(at)) & answerTimeMask
	return later > 0 && later < answerTimeMask/2
}

func (a *answers) millis(at time.Time) uint64 {
	return uint64(at.Sub(a.started).Milliseconds()) & answerTimeMask
}
