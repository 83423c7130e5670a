package schedule

import (
	"math/rand/v2"
)

// Random is a pseudorandom source of choices.
type Random struct{ rand *rand.Rand }

// NewRandom returns a source that gives the same choices for the same seed.
func NewRandom(seed uint64) *Random {
	return &Random{rand: rand.New(rand.NewPCG(seed, seed))}
}

// Int returns a number from 0 to n-1.
func (r *Random) Int(n int) int { return r.rand.IntN(n) }
