package route

// Scorer gives each member a score; the lowest one is chosen.
type Scorer interface {
	// Score returns a member's score, and whether it may take one more request.
	// norm is the service's own time in nanoseconds, speed the mean multiple of
	// the usual time that its instances tell of, 0 if unknown.
	Score(m *Member, q *Query, norm, speed float64, state State, now int64) (score float64, room bool)
}

// LowestScore chooses the member with the lowest score among all members or among
// a random sample of them; equal scores are decided at random.
type LowestScore[S Scorer] struct {
	name   string
	why    string
	scorer S
	sample int // members looked at, 0 for all
	eject  bool
}

// Name returns the policy's name.
func (p *LowestScore[S]) Name() string { return p.name }

// Reason says what makes a member the chosen one.
func (p *LowestScore[S]) Reason() string { return p.why }

// sampleAbove is the number of members from which a policy that looks at all
// members looks at a random sample instead.
const (
	sampleAbove = 32
	sampleSize  = 16
)

// Choose returns the position of the member with the lowest score.
func (p *LowestScore[S]) Choose(view *View, query *Query, now int64, random Random, trace *Trace) int {
	if best := p.first(view, query, now, random, trace); best >= 0 {
		return best
	}
	sample := p.sample
	if sample == 0 && len(view.members) > sampleAbove {
		sample = sampleSize
	}
	if sample > 0 && sample < len(view.members) {
		s := scan[S]{policy: p, view: view, query: query, now: now, random: random, trace: trace, best: NoMember}
		s.some(sample)
		if s.best >= 0 {
			return s.best
		}
	}
	trace.reset()
	s := scan[S]{policy: p, view: view, query: query, now: now, random: random, trace: trace, best: NoMember}
	s.every(p.eject)
	if s.best == NoMember && p.eject {
		// Every member is ejected: one that may be healthy is better than none.
		trace.reset()
		s.every(false)
	}
	return s.best
}

// first returns the best of the members that this host uses first, if one has
// room.
func (p *LowestScore[S]) first(view *View, query *Query, now int64, random Random, trace *Trace) int {
	if len(query.among) == 0 {
		return NoMember
	}
	s := scan[S]{policy: p, view: view, query: query, now: now, random: random, trace: trace, best: NoMember}
	for _, at := range query.among {
		s.look(at, p.eject)
	}
	return s.best
}

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
}

// some looks at distinct random members that take requests.
func (s *scan[S]) some(n int) {
	members := len(s.view.members)
	at := s.random.IntN(members)
	step := 1 + s.random.IntN(members-1)
	for seen, tried := 0, 0; seen < n && tried < members; tried++ {
		if s.look(at, s.policy.eject) {
			seen++
		}
		at = (at + step) % members
	}
}

func (s *scan[S]) every(eject bool) {
	for at := range s.view.members {
		s.look(at, eject)
	}
}

// look weighs one member and reports whether it takes requests.
func (s *scan[S]) look(at int, eject bool) bool {
	m := &s.view.members[at]
	state := stateOf(m, s.query, s.now)
	if state == Draining || state == Excluded || state == Ejected && eject {
		s.trace.add(m, state, 0, true, s.now)
		return false
	}
	score, room := s.policy.scorer.Score(m, s.query, s.view.norm.Latency(), s.view.norm.speed.get(), state, s.now)
	s.trace.add(m, state, score, room, s.now)
	if !room {
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
