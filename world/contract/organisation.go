package contract

import "math"

// Organisation holds the terms of one organisation whose callers identify themselves by
// keys. It is immutable.
type Organisation struct {
	name    string
	digests []string
	rank    int
	rate    float64
	burst   int
}

// OrganisationOption changes one term of an organisation.
type OrganisationOption func(*Organisation)

// NewOrganisation returns an organisation of the most urgent rank and without a limit.
func NewOrganisation(name string, opts ...OrganisationOption) *Organisation {
	o := &Organisation{name: name}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// WithKeyDigests sets the digests of the organisation's keys.
func WithKeyDigests(digests ...string) OrganisationOption {
	return func(o *Organisation) { o.digests = digests }
}

// WithRank sets the rank of the organisation's requests, 0 for the most urgent.
func WithRank(rank int) OrganisationOption { return func(o *Organisation) { o.rank = rank } }

// WithOrganisationRate limits the requests a second of the organisation over all entry
// hosts; 0 means no limit.
func WithOrganisationRate(perSecond float64) OrganisationOption {
	return func(o *Organisation) { o.rate = perSecond }
}

// WithOrganisationBurst allows n requests beyond the rate at once.
func WithOrganisationBurst(n int) OrganisationOption { return func(o *Organisation) { o.burst = n } }

// Name returns the name of the organisation.
func (o *Organisation) Name() string {
	if o == nil {
		return ""
	}
	return o.name
}

// KeyDigests returns the digests of the organisation's keys.
func (o *Organisation) KeyDigests() []string { return o.digests }

// Rank returns the rank of the organisation's requests, 0 for the most urgent. It goes
// before the priority of the rule.
func (o *Organisation) Rank() int {
	if o == nil {
		return 0
	}
	return o.rank
}

// Rate returns the limit on the requests a second over all entry hosts; 0 means no limit.
func (o *Organisation) Rate() float64 { return o.rate }

// Burst returns the requests that are allowed at once beyond the rate.
func (o *Organisation) Burst() int { return o.burst }

// Limited reports whether the organisation's requests are limited.
func (o *Organisation) Limited() bool { return o != nil && o.rate > 0 && !math.IsInf(o.rate, 0) }
