package upstream

import (
	"sync"
	"time"
)

// paceChunk is the size of the pieces in which bodies are sent at a pace.
const paceChunk = 4 << 10

// minPieceTime is the time that a piece takes on the fastest link on which bodies have a pace. On
// a faster one nothing waits for long.
const minPieceTime = time.Millisecond

// pacer spaces the pieces of all request bodies of a pool, so that they leave room on the
// network link of this host. A body that is written at once fills the queue of a slow link, and
// every request, probe and response behind it waits until it is through.
type pacer struct {
	bytesPerSecond float64

	mu   sync.Mutex
	next time.Time // when the next piece may be sent
}

// WithPace limits the rate at which bodies are sent to all instances together. Requests
// that are smaller than a piece of a body are not delayed. 0 sets no limit, and so does a rate
// of a fast link.
func WithPace(bytesPerSecond float64) Option {
	return func(p *Pool) {
		if bytesPerSecond > 0 && paceChunk/bytesPerSecond > minPieceTime.Seconds() {
			p.pace = &pacer{bytesPerSecond: bytesPerSecond}
		}
	}
}

// wait waits until n bytes may be sent.
func (p *pacer) wait(n int) {
	time.Sleep(time.Until(p.reserve(n, time.Now())))
}

func (p *pacer) reserve(n int, now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.next
	if at.Before(now) {
		at = now
	}
	p.next = at.Add(time.Duration(float64(n) / p.bytesPerSecond * float64(time.Second)))
	return at
}
