package admission

import (
	"maps"
	"slices"
	"time"
)

// Parts of the slots. Hosts choose instances without knowing of each other's choices, so
// that the last slots cannot be filled without queues at the instances: usableShare is given
// away while demand is limited. A service whose demand is just below its slots is served
// well enough, and is limited only from limitFrom.
const (
	usableShare = 0.88
	limitFrom   = 0.96
)

// service is what is known of one service.
type service struct {
	name      string
	age, idle time.Duration
	flows     map[flowKey]*flow
	work      map[int]*work // by the rank of the route
	contended time.Duration // for which shares have been in force, 0 for none
	trim      float64       // part of the usable slots that proved to be there
	unrefused time.Duration // since hosts last refused more than untrimBelow
	published published
}

func newService(name string) *service {
	return &service{name: name, flows: map[flowKey]*flow{}, work: map[int]*work{}, trim: 1, published: newPublished()}
}

func (s *service) step(interval time.Duration, figures Service) []Entry {
	s.age += interval
	s.observe(interval, figures.Demand)
	claims := s.claims()
	if len(claims) == 0 {
		s.contended = 0
		return nil
	}
	shares := fill(s.capacity(figures, claims), claims)
	entries := s.published.update(s.name, claims, shares)
	s.adjust(interval, figures.Demand, len(entries) > 0)
	return entries
}

// rest ends the limits and drops the demand of an interval without figures, as of a service
// without instances or of a control host that gets no reports. The usual rates stay.
func (s *service) rest() {
	s.contended, s.trim, s.unrefused, s.published = 0, 1, 0, newPublished()
	for _, f := range s.flows {
		f.now, f.fast, f.slow = 0, 0, 0
	}
}

// Constants of the queues of the hosts, which are worked off within drainTime with at most
// maxDrain of the capacity.
const (
	drainTime = 5.0 // seconds
	maxDrain  = 0.2
)

// capacity returns the slots for the requests that arrive, of which the claims are the demand.
// Requests that wait do not begin a limit alone: they are worked off beside a demand below the
// slots, and some wait for the rest of their bodies and not for a slot.
func (s *service) capacity(figures Service, claims []claim) float64 {
	usable := figures.Slots * usableShare * s.trim
	if s.contended == 0 {
		usable = figures.Slots * limitFrom * s.trim
		demand := 0.0
		for _, c := range claims {
			demand += c.slots
		}
		if demand <= usable {
			return usable
		}
	}
	took, _ := s.meanTime()
	return usable - min(figures.Queued*took/drainTime, usable*maxDrain)
}

// observe takes the demand of an interval. What an organisation usually sends is learned
// only while there is capacity for all.
func (s *service) observe(interval time.Duration, demand []Demand) {
	for _, f := range s.flows {
		f.now = 0
	}
	for _, d := range demand {
		key := flowKey{d.Level, d.Organisation}
		if s.flows[key] == nil {
			s.flows[key] = &flow{}
		}
		s.flows[key].now += d.Arrivals
		if s.work[d.Level.Route] == nil {
			s.work[d.Level.Route] = &work{}
		}
		s.work[d.Level.Route].add(interval, d)
	}
	for _, w := range s.work {
		w.update(interval, s.contended > 0)
	}
	for key, f := range s.flows {
		f.observe(interval, s.age, s.contended > 0)
		if f.forgotten() {
			delete(s.flows, key)
		}
	}
}

// claims returns the demand of each flow in slots, in a fixed order; none while the time
// that requests take is unknown. The demand of a level is its fast estimate, divided among
// its flows by their slow ones.
func (s *service) claims() []claim {
	fast, slow := map[Level]float64{}, map[Level]float64{}
	keys := slices.SortedFunc(maps.Keys(s.flows), flowKey.compare)
	for _, key := range keys {
		fast[key.level] += s.flows[key].fast
		slow[key.level] += s.flows[key].slow
	}
	var claims []claim
	for _, key := range keys {
		f := s.flows[key]
		took, ok := s.requestTime(key.level.Route)
		if !ok {
			return nil
		}
		requests := f.slow * fast[key.level] / max(slow[key.level], tiny)
		claims = append(claims, claim{key: key, requests: requests, slots: requests * took, weight: f.usual * took})
	}
	usual := 0.0
	for _, c := range claims {
		usual += c.weight
	}
	for n := range claims {
		claims[n].weight = max(claims[n].weight, minWeight*usual/float64(len(claims)), tiny)
	}
	return claims
}

// requestTime returns the seconds for which a request occupies a slot, those of all
// requests if there are too few of the rank.
func (s *service) requestTime(route int) (float64, bool) {
	if took, ok := s.work[route].mean(); ok {
		return took, true
	}
	return s.meanTime()
}

// meanTime returns the seconds for which a request of any rank occupies a slot.
func (s *service) meanTime() (float64, bool) {
	served, seconds := 0.0, 0.0
	for _, rank := range slices.Sorted(maps.Keys(s.work)) {
		if w := s.work[rank]; w.time > 0 {
			served += w.served
			seconds += w.served * w.time
		}
	}
	if served == 0 {
		return 0, false
	}
	return seconds / served, true
}

// Constants of the trim. Hosts that refuse much of what is admitted show that fewer slots
// are there than the instances state. Between the two limits the trim stays, so that it
// does not oscillate.
const (
	settleTime    = 10 * time.Second // after the first share, before which queues of before are worked off
	trimAbove     = 0.05             // part of the admitted requests that hosts refuse
	untrimBelow   = 0.01
	trimPerSecond = 0.02
	minTrim       = 0.5

	untrimPerSecond = 0.01
	untrimTime      = 2.0 // seconds without refusals from which the trim rises faster
)

func (s *service) adjust(interval time.Duration, demand []Demand, limited bool) {
	if !limited {
		s.contended = 0
		s.untrim(interval)
		return
	}
	s.contended += interval
	if s.contended < settleTime {
		return
	}
	var refused, served float64
	for _, d := range demand {
		refused += d.Refused
		served += d.Served
	}
	part := refused / max(refused+served, tiny)
	if part < untrimBelow {
		s.untrim(interval)
		return
	}
	s.unrefused = 0
	if part > trimAbove {
		s.trim = max(minTrim, s.trim-trimPerSecond*interval.Seconds())
	}
}

// untrim raises the trim, faster the longer hosts have refused next to nothing: slots that
// are there again would be left empty otherwise.
func (s *service) untrim(interval time.Duration) {
	s.unrefused += interval
	faster := max(1, s.unrefused.Seconds()/untrimTime)
	s.trim = min(1, s.trim+untrimPerSecond*faster*interval.Seconds())
}
