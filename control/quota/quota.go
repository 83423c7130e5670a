// Package quota serves the Twirp service Quota to entry hosts: it divides among all of
// them the rate limits that instances announce, and the retries that a service allows
// beside the share of its requests.
//
// The leader of the control hosts grants single requests, each for a short time, from
// a token bucket for each instance. An entry host sends to an instance with a limit
// only what was granted to it. Nothing is stored: a new leader grants nothing until
// the grants of the previous one have expired, except to cold instances, whose buckets it
// begins empty. Retries are granted in the same way, from a token bucket for each service.
// Requests of organisations with a limit are granted from a token bucket for each
// organisation, in which a new leader begins with a little.
//
// Usage:
//
//	grants := quota.New("core-1", log, hosts)
//	mux.Handle(wire.QuotaPathPrefix, wire.NewQuotaServer(grants))
package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/steady"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

const (
	// Validity is how long an entry host may use a grant.
	Validity = 1500 * time.Millisecond
	// burstTime is the time over which unused requests of an instance are saved.
	burstTime = 500 * time.Millisecond
	// grantsPerSecond is the rate of requests for grants that all entry hosts together
	// are asked to keep.
	grantsPerSecond = 400
	// hostWindow is the time after its last request for which an entry host counts.
	hostWindow = 2 * time.Second
	// minPause is the least time between two requests of one entry host.
	minPause = 50 * time.Millisecond
	// minPerSecond is the least rate at which requests are granted. An instance that
	// named 0 gets one now and then, without which nobody hears that the limit has ended.
	minPerSecond = 0.1
	// maxWanted bounds the requests that are granted at once.
	maxWanted = 1024
)

var granted = metrics.GetOrCreateCounter("snipebeam_granted_requests_total")

// Service implements the Twirp service Quota.
type Service struct {
	name      string
	log       agreement.Log
	fleet     *fleet.Fleet
	now       func() time.Time
	terms     func(service string) *contract.Service
	suspended func() time.Duration // of the machine, since the start

	mu            sync.Mutex
	term          uint64
	buckets       map[string]*bucket   // by instance
	retries       map[string]*bucket   // by service
	hosts         map[string]time.Time // time of the last request of an entry host
	organisations organisations
	suspension    time.Duration // as last known
	resumedAt     time.Time     // end of the last suspension, zero for none
}

// Option changes one property of the service.
type Option func(*Service)

// WithClock sets the source of the time.
func WithClock(now func() time.Time) Option { return func(s *Service) { s.now = now } }

// New returns the service of one control host.
func New(name string, log agreement.Log, hosts *fleet.Fleet, opts ...Option) *Service {
	s := &Service{name: name, log: log, fleet: hosts, now: time.Now, buckets: map[string]*bucket{}, retries: map[string]*bucket{}, terms: noAllowance, suspended: steady.New().Suspended, hosts: map[string]time.Time{}, organisations: newOrganisations()}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// bucket is the token bucket of one instance.
type bucket struct {
	tokens float64
	at     time.Time
}

// fill adds the tokens of the time since the last call, up to the given number.
func (b *bucket) fill(perSecond, most float64, now time.Time) {
	b.tokens = min(b.tokens+perSecond*now.Sub(b.at).Seconds(), most)
	b.at = now
}

// Grant grants requests to an entry host, to instances that named a rate limit and to cold
// instances of services that limit the requests to them. On a control host that is not the
// leader it names the leader; a leader without a quorum returns an error. So does one whose
// predecessor's grants may still be in use, unless there are cold instances to grant.
func (s *Service) Grant(_ context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	status, now := s.log.Status(), s.now()
	if status.Leader() != s.name {
		return &wire.GrantResponse{LeaderAddress: status.LeaderAddress()}, nil
	}
	coldRate := s.coldRate(req)
	limits := now.Sub(status.LeadsSince()) >= Validity // no grant of the previous leader is in use
	if !status.Quorum() || !limits && coldRate == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "this control host does not grant yet")
	}
	s.fleet.AddRateLimits(req.GetRateLimits(), now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startTerm(status.Term())
	response := &wire.GrantResponse{Leader: true, ValidNs: int64(Validity), PauseNs: int64(s.pause(req.GetHost(), now)), ColdOnly: !limits}
	var candidates []candidate
	if coldRate > 0 {
		response.ValidNs = int64(coldValidity(coldRate))
		candidates = s.coldCandidates(req, coldRate, status.LeadsSince(), now)
	}
	for _, known := range req.GetRateLimits() {
		limit := s.fleet.RateLimit(known.GetInstance(), now)
		if limit == nil {
			continue
		}
		if limit.GetAgeNs() < known.GetAgeNs() {
			response.RateLimits = append(response.RateLimits, limit)
		}
		if limits && !limit.GetEnded() && !(coldRate > 0 && slices.Contains(req.GetCold(), known.GetInstance())) {
			candidates = append(candidates, candidate{instance: known.GetInstance(), bucket: s.bucket(known.GetInstance(), limit.GetPerSecond(), now)})
		}
	}
	response.Grants = take(candidates, min(int(req.GetWanted()), maxWanted))
	return response, nil
}

// startTerm drops what was granted and saved in an earlier term.
func (s *Service) startTerm(term uint64) {
	if term == s.term {
		return
	}
	s.term = term
	clear(s.buckets)
	clear(s.retries)
}

// bucket returns the bucket of an instance, filled until now. A new one has one
// request, so that an instance with a low limit is not idle at first.
func (s *Service) bucket(instance string, perSecond float64, now time.Time) *bucket {
	perSecond = max(perSecond, minPerSecond)
	b := s.buckets[instance]
	if b == nil {
		b = &bucket{tokens: min(perSecond, 1), at: now}
		s.buckets[instance] = b
	}
	b.fill(perSecond, max(perSecond*burstTime.Seconds(), 1), now)
	return b
}

// pause returns how long a host is to wait before its next request.
func (s *Service) pause(host string, now time.Time) time.Duration {
	s.hosts[host] = now
	for name, at := range s.hosts {
		if now.Sub(at) > hostWindow {
			delete(s.hosts, name)
		}
	}
	return max(time.Duration(len(s.hosts))*time.Second/grantsPerSecond, minPause)
}

type candidate struct {
	instance string
	bucket   *bucket
	taken    uint32
}

// take takes up to n requests from the buckets, from the fullest ones first and evenly.
func take(candidates []candidate, n int) []*wire.Grant {
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.bucket.tokens > b.bucket.tokens:
			return -1
		case a.bucket.tokens < b.bucket.tokens:
			return 1
		}
		return 0
	})
	for found := true; found && n > 0; {
		found = false
		for at := range candidates {
			if c := &candidates[at]; n > 0 && c.bucket.tokens >= 1 {
				c.bucket.tokens--
				c.taken++
				n--
				found = true
			}
		}
	}
	var grants []*wire.Grant
	for _, c := range candidates {
		if c.taken > 0 {
			granted.Add(int(c.taken))
			grants = append(grants, &wire.Grant{Instance: c.instance, Requests: c.taken})
		}
	}
	return grants
}
