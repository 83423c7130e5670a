package quorum

// sending is how a leader sends entries to a replica.
type sending string

const (
	probing      sending = "probing"      // one message at a time until the logs match
	replicating  sending = "replicating"  // many messages in flight
	snapshotting sending = "snapshotting" // waits for a snapshot to be installed
)

// snapshotTimeouts is how many election timeouts a leader waits for the answer
// to a snapshot before it probes again.
const snapshotTimeouts = 20

// progress is what a leader knows of another replica.
type progress struct {
	match      uint64 // last entry known to be durable there
	next       uint64 // next entry to send
	sending    sending
	probed     bool // a probe is on its way
	silent     int  // ticks since it was heard
	round      uint64
	sentCommit uint64
	heartbeat  bool // a heartbeat is due
	waited     int  // heartbeats since the snapshot was sent
}

// acknowledged moves on to a match.
func (p *progress) acknowledged(match, offset uint64) {
	if match > p.match {
		p.match = match
	}
	p.next = max(p.next, p.match+1)
	if p.sending == snapshotting && p.match < offset {
		return
	}
	p.sending, p.probed = replicating, false
}

// rejected falls back to probing, from the last entry that may match.
func (p *progress) rejected(at, hint uint64) {
	if at <= p.match || p.sending == snapshotting {
		return
	}
	if p.sending == probing && at != p.next-1 {
		return
	}
	p.next = max(min(at, hint+1), p.match+1)
	p.sending, p.probed = probing, false
}
