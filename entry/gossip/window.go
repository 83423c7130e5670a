package gossip

// windowBits is how far datagrams of one sender may overtake each other.
const windowBits = 64

// window remembers which datagrams of one start of a sender came, so that a
// replayed one is refused.
type window struct {
	highest uint64
	seen    uint64 // bit n: highest-n came
}

// accept reports whether the sequence number is new and not too old.
func (w *window) accept(sequence uint64) bool {
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
