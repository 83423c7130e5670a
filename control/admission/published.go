package admission

import (
	"cmp"
	"math"
	"slices"
)

// Constants of the entries. An entry is changed only for a difference that matters, so that
// chance in the demand does not move it.
const (
	keepWithin    = 0.05 // difference below which a share is kept, as a part of it
	ownBeyond     = 0.15 // difference from its level's share beyond which a flow gets an entry of its own
	commonWithin  = 0.08 // difference within which it loses that entry
	moveShare     = 0.7  // part of the difference by which a share is changed in a step
	maxOwnEntries = 48   // of a service, which bounds the size of a response
	shareSteps    = 256  // shares are multiples of its inverse
)

// published holds the shares in force for one service.
type published struct {
	levels map[Level]float64
	own    map[flowKey]float64
}

func newPublished() published {
	return published{levels: map[Level]float64{}, own: map[flowKey]float64{}}
}

// update moves the shares towards those of the claims and returns the entries.
func (p *published) update(name string, claims []claim, shares []float64) []Entry {
	levels, own := map[Level]float64{}, map[flowKey]float64{}
	for from := 0; from < len(claims); {
		to := levelEnd(claims, from)
		p.updateLevel(claims[from:to], shares[from:to], levels, own)
		from = to
	}
	p.levels, p.own = levels, own
	return p.entries(name)
}

func (p *published) updateLevel(claims []claim, shares []float64, levels map[Level]float64, own map[flowKey]float64) {
	level := claims[0].key.level
	common := move(p.level(level), typical(claims, shares))
	levels[level] = common
	for n, c := range claims {
		old, has := p.own[c.key]
		limit := ownBeyond
		if has {
			limit = commonWithin
		}
		if c.key.organisation == "" || math.Abs(shares[n]-common) <= limit {
			continue
		}
		if !has {
			old = p.level(level)
		}
		own[c.key] = move(old, shares[n])
	}
}

// level returns the share in force for a level.
func (p *published) level(level Level) float64 {
	if share, ok := p.levels[level]; ok {
		return share
	}
	return 1
}

// typical returns the part that is admitted of a level without its outliers: those whose
// shares are far from the weighted median.
func typical(claims []claim, shares []float64) float64 {
	order := make([]int, len(claims))
	total := 0.0
	for n, c := range claims {
		order[n] = n
		total += c.weight
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(shares[a], shares[b]) })
	median, sum := 1.0, 0.0
	for _, n := range order {
		median = shares[n]
		if sum += claims[n].weight; sum >= total/2 {
			break
		}
	}
	admitted, slots := 0.0, 0.0
	for n, c := range claims {
		if math.Abs(shares[n]-median) <= ownBeyond {
			admitted += shares[n] * c.slots
			slots += c.slots
		}
	}
	if slots == 0 {
		return median
	}
	return admitted / slots
}

// move returns the next value of a share.
func move(old, target float64) float64 {
	if target >= 1-keepWithin/2 && old >= 1-keepWithin {
		return 1
	}
	if math.Abs(target-old) < keepWithin*max(old, keepWithin) {
		return old
	}
	return math.Round((old+(target-old)*moveShare)*shareSteps) / shareSteps
}

// entries returns the levels that are not admitted whole, and the organisations that
// differ most from their levels.
func (p *published) entries(name string) []Entry {
	var entries, own []Entry
	for level, share := range p.levels {
		if share < 1 {
			entries = append(entries, Entry{Service: name, Level: level, Share: share})
		}
	}
	for key, share := range p.own {
		if share < 1 || p.level(key.level) < 1 {
			own = append(own, Entry{Service: name, Level: key.level, Organisation: key.organisation, Share: share})
		}
	}
	slices.SortFunc(own, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(math.Abs(b.Share-p.level(b.Level)), math.Abs(a.Share-p.level(a.Level))),
			a.Level.compare(b.Level), cmp.Compare(a.Organisation, b.Organisation))
	})
	return append(entries, own[:min(len(own), maxOwnEntries)]...)
}
