package quorum

// progressState is the mode in which a leader replicates to another member.
type progressState string

const (
	probing      progressState = "probing"      // one append at a time until the logs match
	replicating  progressState = "replicating"  // pipelined appends, optimistic next index
	snapshotting progressState = "snapshotting" // no appends until a snapshot is installed
)

// snapshotTimeouts is the number of election timeouts that a leader waits for the
// acknowledgement of a snapshot before it returns to probing.
const snapshotTimeouts = 20

// progress is the leader's replication state for another member.
type progress struct {
	match            uint64 // highest index known to be durable on the member
	next             uint64 // next index to send
	state            progressState
	probeSent        bool // a probe is in flight
	ticksSinceAnswer int  // ticks since the last append answer
	answered         bool // there was one
	round            uint64
	sentCommit       uint64
	heartbeatDue     bool // a heartbeat is due
	ticksUnacked     int  // ticks without progress while entries are in flight
	snapshotTicks    int  // ticks since the snapshot was sent, counted per heartbeat
}

// acknowledge records a match and switches to replicating, unless a snapshot is
// still needed: the match is then before the leader's log offset.
func (p *progress) acknowledge(match, offset uint64) {
	if match > p.match {
		p.match, p.ticksUnacked = match, 0
	}
	p.next = max(p.next, p.match+1)
	if p.state == snapshotting && p.match < offset {
		return
	}
	p.state, p.probeSent = replicating, false
}

// hasInFlight reports whether entries were sent that are not acknowledged.
func (p *progress) hasInFlight() bool { return p.state == replicating && p.next > p.match+1 }

// resend sends the entries that are not acknowledged again, after a probe.
func (p *progress) resend() {
	if p.hasInFlight() {
		p.next, p.state, p.probeSent, p.ticksUnacked = p.match+1, probing, false, 0
	}
}

// tick counts the time without progress. Entries may be lost although heartbeats are answered.
func (p *progress) tick(limit int) {
	p.ticksSinceAnswer++
	if !p.hasInFlight() {
		p.ticksUnacked = 0
		return
	}
	if p.ticksUnacked++; p.ticksUnacked >= limit {
		p.resend()
	}
}

// reject falls back to probing from the last entry that may match. It ignores
// stale rejections.
func (p *progress) reject(index, hint uint64) {
	if index <= p.match || p.state == snapshotting {
		return
	}
	if p.state == probing && index != p.next-1 {
		return
	}
	p.next = max(min(index, hint+1), p.match+1)
	p.state, p.probeSent = probing, false
}
