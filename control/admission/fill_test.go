package admission

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/testseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

const rounding = 1e-6

// drawClaims draws organisations of one rank each, with an urgent or a patient kind or both.
func drawClaims(t *rapid.T) []claim {
	var claims []claim
	for n := range rapid.IntRange(1, 12).Draw(t, "organisations") {
		rank, kinds := rapid.IntRange(0, 2).Draw(t, "rank"), rapid.IntRange(1, 3).Draw(t, "kinds")
		for route, kind := range []int{1, 2} {
			if kinds&kind == 0 {
				continue
			}
			usual := rapid.Float64Range(0.1, 20).Draw(t, "usual")
			took := rapid.Float64Range(0.05, 2).Draw(t, "took")
			growth := rapid.Float64Range(0.01, 10).Draw(t, "growth")
			claims = append(claims, claim{
				key:      flowKey{Level{Organisation: rank, Route: 2 * route}, string(rune('a' + n))},
				requests: usual * growth, slots: usual * growth * took, weight: usual * took,
			})
		}
	}
	slices.SortFunc(claims, func(a, b claim) int { return a.key.compare(b.key) })
	return claims
}

// sums adds up the requests of claims, and those that are served, by a property.
type sums map[any][2]float64

func (s sums) add(key any, c claim, share float64) {
	s[key] = [2]float64{s[key][0] + c.requests, s[key][1] + c.requests*share}
}

func (s sums) part(key any) float64 { return s[key][1] / max(s[key][0], tiny) }

// Guards against more slots than there are, slots that stay empty while requests are
// refused, and organisations that are served less than a quarter as often as all.
func TestCapacityIsGivenWholeAndToEach(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		capacity := rapid.Float64Range(1, 200).Draw(t, "capacity")
		shares := fill(capacity, claims)
		given, wanted, all, organisations := 0.0, 0.0, sums{}, sums{}
		for n, c := range claims {
			must.Between(t, 0, shares[n], 1+rounding)
			given += shares[n] * c.slots
			wanted += c.slots
			all.add("all", c, shares[n])
			organisations.add(c.key.organisation, c, shares[n])
		}
		must.InDelta(t, min(capacity, wanted), given, rounding*max(capacity, wanted))
		whole := all.part("all")
		if whole*regularFloor*urgentFirst*wanted > capacity {
			return // few slots: floors for all of the requests would take more than there are
		}
		for name, sum := range organisations {
			if sum[0] > 0 {
				must.GreaterEq(t, whole/4, organisations.part(name))
			}
		}
	})
}

// Guards against less urgent requests that are served while more urgent ones are not, where
// nobody sends far more than the others.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		growth := rapid.Float64Range(1, 5).Draw(t, "growth of all")
		total := 0.0
		for n := range claims {
			claims[n].slots, claims[n].requests = claims[n].weight*growth, growth
			total += claims[n].slots
		}
		shares, ranks := fill(total*rapid.Float64Range(0.1, 0.9).Draw(t, "part"), claims), sums{}
		patient := map[string]float64{}
		for n := len(claims) - 1; n >= 0; n-- {
			c := claims[n]
			ranks.add(c.key.level.Organisation, c, shares[n])
			if less, ok := patient[c.key.organisation]; ok {
				must.GreaterEq(t, less-rounding, shares[n])
			}
			patient[c.key.organisation] = shares[n]
		}
		last := 1.0
		for rank := range 3 {
			if ranks[rank][0] > 0 {
				must.LessEq(t, last+0.05, ranks.part(rank))
				last = ranks.part(rank)
			}
		}
	})
}

// Guards against an organisation whose surplus takes from others, also if its rank is the
// most urgent one.
func TestSurplusCostsOthersNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		hot, total, peers := rapid.IntRange(0, len(claims)-1).Draw(t, "hot"), 0.0, 0
		for n := range claims {
			claims[n].key.organisation = string(rune('a' + n))
			claims[n].slots, claims[n].requests = claims[n].weight, 1
			total += claims[n].slots
			if claims[n].key.level.Route == claims[hot].key.level.Route {
				peers++
			}
		}
		if peers < minPeers { // no majority tells what is usual
			return
		}
		times := rapid.Float64Range(4, 8).Draw(t, "times")
		claims[hot].slots, claims[hot].requests = claims[hot].weight*times, times
		if claims[hot].weight > total/10 {
			return
		}
		// The regular demand and the floor of the surplus fit.
		for n, share := range fill(total+(surplusAbove-1)*claims[hot].weight+urgentFirst*surplusFloor*claims[hot].slots, claims) {
			if n != hot {
				must.InDelta(t, 1, share, rounding)
			}
		}
	})
}

// Guards against work that grows with the square of the number of organisations: a decision
// on 5,000 of them took half of the processor time of a control host.
func TestWorkOfADecisionIsProportionalToTheOrganisations(t *testing.T) {
	const organisations = 5000
	claims := make([]claim, organisations)
	for n := range claims {
		claims[n] = claim{
			key:      flowKey{Level{Organisation: n * 3 / organisations}, fmt.Sprintf("%04d", n)},
			requests: 1, slots: float64(1 + n%3), weight: 1,
		}
	}
	allocations := testing.AllocsPerRun(1, func() { fill(organisations, claims) })
	must.LessEq(t, organisations, allocations)
}
