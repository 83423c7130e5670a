package route

// Scorer scores members; the member with the lowest score is selected.
type Scorer interface {
	// Score returns a member's score, and whether it has capacity for one more
	// request. serviceLatency is the mean service time in nanoseconds, slowdown the
	// mean slowdown that instances of the service report; both are 0 if unknown.
	Score(m *Member, q *Query, serviceLatency, slowdown float64, state State, now int64) (score float64, hasCapacity bool)
}

// LowestScore is a policy that selects the member with the lowest score among all
// members or a random sample of them. Ties are broken at random.
type LowestScore[S Scorer] struct {
	name   string
	reason string
	scorer S
	sample int // number of members to consider, 0 for all
	eject  bool
}

// Name returns the policy's name.
func (p *LowestScore[S]) Name() string { return p.name }

// Reason returns a short description of how the member is selected.
func (p *LowestScore[S]) Reason() string { return p.reason }

// A policy that considers all members considers a random sample instead if there
// are more than sampleAbove.
const (
	sampleAbove = 32
	sampleSize  = 16
)

// Choose returns the position of the member with the lowest score.
func (p *LowestScore[S]) Choose(view *View, query *Query, now int64, random Random, trace *Trace) int {
	query.coldWanted = false
	if best := p.choosePreferred(view, query, now, random, trace); best >= 0 {
		return best
	}
	sample := p.sample
	if sample == 0 && len(view.members) > sampleAbove {
		sample = sampleSize
	}
	if sample > 0 && sample < len(view.members) {
		s := scan[S]{policy: p, view: view, query: query, now: now, random: random, trace: trace, best: NoMember}
		s.considerSample(sample)
		s.noteColdWanted()
		if s.best >= 0 {
			return s.best
		}
	}
	trace.reset()
	s := scan[S]{policy: p, view: view, query: query, now: now, random: random, trace: trace, best: NoMember}
	s.considerAll(p.eject)
	if s.best == NoMember && p.eject {
		// All members are ejected. One that may be healthy is better than none.
		trace.reset()
		s.considerAll(false)
	}
	return s.best
}

// choosePreferred returns the best of this host's preferred members, if one of them
// has capacity.
func (p *LowestScore[S]) choosePreferred(view *View, query *Query, now int64, random Random, trace *Trace) int {
	if len(query.preferred) == 0 {
		return NoMember
	}
	s := scan[S]{policy: p, view: view, query: query, now: now, random: random, trace: trace, best: NoMember}
	for _, at := range query.preferred {
		s.consider(at, p.eject)
	}
	s.noteColdWanted()
	return s.best
}

// grantedScore scales the score of an instance to which this host was granted requests.
const grantedScore = 0.5

// scan is one pass over members.
type scan[S Scorer] struct {
	policy *LowestScore[S]
	view   *View
	query  *Query
	now    int64
	random Random
	trace  *Trace
	best   int
	score  float64
	ties   int
	// coldScore is the lowest score of a cold member to which this host may send nothing
	// without a grant, 0 if there is none.
	coldScore float64
}

// noteColdWanted notes in the query that a cold member would be the best choice if this
// host had been granted a request there.
func (s *scan[S]) noteColdWanted() {
	if s.coldScore > 0 && (s.best < 0 || s.coldScore < s.score) {
		s.query.coldWanted = true
	}
}

// considerSample considers up to n distinct random members that accept requests.
func (s *scan[S]) considerSample(n int) {
	members := len(s.view.members)
	at := s.random.IntN(members)
	step := 1 + s.random.IntN(members-1)
	for considered, tried := 0, 0; considered < n && tried < members; tried++ {
		if s.consider(at, s.policy.eject) {
			considered++
		}
		at = (at + step) % members
	}
}

func (s *scan[S]) considerAll(eject bool) {
	for at := range s.view.members {
		s.consider(at, eject)
	}
}

// consider scores one member and reports whether it accepts requests.
func (s *scan[S]) consider(at int, eject bool) bool {
	m := &s.view.members[at]
	state := stateOf(m, s.query, s.now)
	if state == Draining || state == Excluded || state == Ejected && eject {
		s.trace.add(m, state, 0, true, s.now)
		return false
	}
	if m.load.blocked(s.now) {
		s.trace.add(m, RateLimited, 0, true, s.now)
		return false
	}
	score, hasCapacity := s.policy.scorer.Score(m, s.query, s.view.stats.Latency(), s.view.stats.slowdown.get(), state, s.now)
	if s.query.coldRate > 0 {
		score *= coldCost(m.ColdUntil(s.now), s.query.warmDelay, s.now)
	}
	if allowance := m.allowance(s.query.coldRate, s.now); allowance.limit.limited {
		if !allowance.cold { // requests prefer instances that are not cold
			score *= grantedScore // a grant that expires is lost to all hosts
		}
		if m.available(allowance, s.now) == 0 {
			if allowance.cold && hasCapacity && (s.coldScore == 0 || score < s.coldScore) {
				s.coldScore = score
			}
			state, hasCapacity = RateLimited, false
		}
	}
	s.trace.add(m, state, score, hasCapacity, s.now)
	if !hasCapacity {
		if s.best == NoMember {
			s.best = AllBusy
		}
		return true
	}
	switch {
	case s.best < 0 || score < s.score:
		s.best, s.score, s.ties = at, score, 1
	case score == s.score:
		s.ties++
		if s.random.IntN(s.ties) == 0 {
			s.best = at
		}
	}
	return true
}
