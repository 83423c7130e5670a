package admission

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/testseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

const rounding = 1e-6

func drawClaims(t *rapid.T) []claim {
	var claims []claim
	for level := range rapid.IntRange(1, 4).Draw(t, "levels") {
		for n := range rapid.IntRange(1, 6).Draw(t, "organisations") {
			usual := rapid.Float64Range(0.1, 20).Draw(t, "usual")
			took := rapid.Float64Range(0.05, 2).Draw(t, "took")
			growth := rapid.Float64Range(0, 10).Draw(t, "growth")
			claims = append(claims, claim{
				key:      flowKey{Level{Organisation: level}, string(rune('a' + n))},
				requests: usual * growth, slots: usual * growth * took, weight: usual * took,
			})
		}
	}
	return claims
}

// Guards against more slots than there are, slots that stay empty while requests are
// refused, and organisations without a part.
func TestCapacityIsGivenWholeAndNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		capacity := rapid.Float64Range(1, 200).Draw(t, "capacity")
		shares := fill(capacity, claims)
		given, wanted, served, requests := 0.0, 0.0, 0.0, 0.0
		for n, c := range claims {
			given += shares[n] * c.slots
			wanted += c.slots
			served += shares[n] * c.requests
			requests += c.requests
		}
		must.InDelta(t, min(capacity, wanted), given, rounding*max(capacity, wanted))
		for n, c := range claims {
			must.Between(t, 0, shares[n], 1+rounding)
			if c.slots > 0 && wanted > capacity {
				must.Greater(t, 0, shares[n])
			}
		}
	})
}

// Guards against a less urgent level that is served while a more urgent one is not, where
// nobody sends far more than the others.
func TestUrgentLevelsAreServedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		growth := rapid.Float64Range(1, 5).Draw(t, "growth of all")
		total := 0.0
		for n := range claims {
			claims[n].slots, claims[n].requests = claims[n].weight*growth, growth
			total += claims[n].slots
		}
		shares := fill(total*rapid.Float64Range(0.1, 0.9).Draw(t, "part"), claims)
		for n := 1; n < len(claims); n++ {
			must.LessEq(t, shares[n-1]+rounding, shares[n])
		}
	})
}

// Guards against an organisation whose surplus takes from others, also if its rank is the
// most urgent one.
func TestSurplusCostsOthersNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		hot, total := rapid.IntRange(0, len(claims)-1).Draw(t, "hot"), 0.0
		for n := range claims {
			claims[n].key.organisation = string(rune('a' + n))
			claims[n].slots, claims[n].requests = claims[n].weight, 1
			total += claims[n].slots
		}
		if len(claims) < minPeers { // no majority tells what is usual
			return
		}
		times := rapid.Float64Range(4, 8).Draw(t, "times")
		claims[hot].slots, claims[hot].requests = claims[hot].weight*times, times
		if claims[hot].weight > total/10 {
			return
		}
		// The regular demand and the floor of the surplus fit.
		for n, share := range fill(total+0.45*claims[hot].weight+surplusFloor*claims[hot].slots, claims) {
			if n != hot {
				must.InDelta(t, 1, share, rounding)
			}
		}
	})
}
