package gossip

// windowBits is the maximum reordering of datagrams of one sender.
const windowBits = 64

// replayWindow records which sequence numbers were received in one epoch of a
// sender, to reject replayed datagrams.
type replayWindow struct {
	highest uint64
	seen    uint64 // bit n is set if highest-n was received
}

// accept records a sequence number. It reports false for a duplicate and for one
// older than the window.
func (w *replayWindow) accept(sequence uint64) bool {
	if sequence > w.highest {
		shift := sequence - w.highest
		w.seen = w.seen<<min(shift, windowBits) | 1
		w.highest = sequence
		return true
	}
	behind := w.highest - sequence
	if behind >= windowBits || w.seen&(1<<behind) != 0 {
		return false
	}
	w.seen |= 1 << behind
	return true
}
