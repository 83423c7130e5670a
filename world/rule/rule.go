// Package rule parses the operators' rules file: one rule per line, each ending
// in a comment that names who requested it and why.
//
//	service catalogue: owner "Comptoir", spread 3, probe 1%, backlog 30 for 2s # M. Tremblay: counter lookups
//	route catalogue GET,HEAD /lookup/**: deadline 300ms, retries 2             # M. Tremblay: a piercer waits
//	route checkout POST /payments when X-Channel=counter: once Idempotency-Key # L. Roy: never paid twice
//
//	route catalogue=90,trial=10 at counter.example /lookup/: deadline 300ms     # M. Tremblay: a piercer waits
//
// A service line applies to a whole service. The first route line that matches
// a request determines its contract.
//
//	organisation atelier: keys "0d4b1f..." "93ac07...", priority 1, rate 126/s, burst 126 # M. Roy: studios
//
// An organisation line names callers by the digests of their keys. If there is any,
// requests need a key, except on routes with the term "public".
//
// A route line with "at" matches requests by HTTP host and path prefix, whatever
// service the caller names. Of a host's lines, the one with the longest matching
// prefix determines the contract and the service, or the services among which
// requests are split by weight.
//
// A path pattern matches whole paths, segment by segment: * matches any
// characters within a segment, a trailing /** any number of segments, including
// none. A trailing slash is significant. A request path with a segment "." or
// "..", however encoded, matches no rule.
//
// Usage:
//
//	set, findings := rule.Parse("rules", text)
//	if findings.HasErrors() { return findings.Err() }
//	r := set.Match("catalogue", "GET", req.URL.EscapedPath(), req.Header)
package rule

import (
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/finding"
)

// stackSegments is the number of path segments that Match keeps on the stack;
// it allocates only for longer paths.
const stackSegments = 16

// Limits of a rules file.
const (
	MaxFileBytes = 8 << 20
	MaxRoutes    = 1000 // per service
)

// Reason names who requested a rule and why.
type Reason struct {
	who string
	why string
}

// Who returns the person or office that requested the rule.
func (r Reason) Who() string { return r.who }

// Why returns the reason for the rule.
func (r Reason) Why() string { return r.why }

// Rule is one route line. It is immutable.
type Rule struct {
	place      finding.Place
	service    string
	methods    []string
	path       string
	pattern    pattern
	conditions []Condition
	contract   *contract.Contract
	reason     Reason
	text       string
	host       string // HTTP host of a route line with "at", else empty
	prefix     string // path prefix of a route line with "at"
	shares     []Share
}

// Share is a service with its weight in a traffic split.
type Share struct {
	service string
	weight  int
}

// Service returns the service.
func (s Share) Service() string { return s.service }

// Weight returns the weight relative to the rule's other shares.
func (s Share) Weight() int { return s.weight }

// Host returns the HTTP host of a route line with "at", or the empty string.
func (r *Rule) Host() string { return r.host }

// Prefix returns the path prefix of a route line with "at".
func (r *Rule) Prefix() string { return r.prefix }

// Shares returns the services among which requests are split by weight, or none
// if all requests are for one service.
func (r *Rule) Shares() []Share { return r.shares }

// Services returns the services that the rule may send requests to; shares of
// weight 0 are left out.
func (r *Rule) Services() []string {
	if len(r.shares) == 0 {
		return []string{r.service}
	}
	var all []string
	for _, share := range r.shares {
		if share.weight > 0 {
			all = append(all, share.service)
		}
	}
	return all
}

// Place returns the rule's position in the file.
func (r *Rule) Place() finding.Place { return r.place }

// Service returns the service that the rule applies to.
func (r *Rule) Service() string { return r.service }

// Methods returns the HTTP methods that match; an empty list matches all.
func (r *Rule) Methods() []string { return r.methods }

// Path returns the path pattern; an empty one matches all paths.
func (r *Rule) Path() string { return r.path }

// Conditions returns the header conditions, all of which must match.
func (r *Rule) Conditions() []Condition { return r.conditions }

// Contract returns the terms that apply to requests that match the rule.
func (r *Rule) Contract() *contract.Contract { return r.contract }

// Reason returns who requested the rule and why.
func (r *Rule) Reason() Reason { return r.reason }

// String returns the rule in canonical form.
func (r *Rule) String() string { return r.text }

// matches reports whether the rule matches a request for its service.
func (r *Rule) matches(method string, segments []string, header http.Header) bool {
	if len(r.methods) > 0 && !slices.Contains(r.methods, method) {
		return false
	}
	if !r.pattern.matches(segments) {
		return false
	}
	for _, c := range r.conditions {
		if !c.matches(header) {
			return false
		}
	}
	return true
}

// ServiceLine is the service line of one service. It is immutable.
type ServiceLine struct {
	place  finding.Place
	terms  *contract.Service
	reason Reason
	text   string
}

// Place returns the line's position in the file.
func (s *ServiceLine) Place() finding.Place { return s.place }

// Terms returns the terms that apply to the whole service.
func (s *ServiceLine) Terms() *contract.Service { return s.terms }

// Reason returns who requested the line and why.
func (s *ServiceLine) Reason() Reason { return s.reason }

// String returns the line in canonical form.
func (s *ServiceLine) String() string { return s.text }

// Set is the content of a rules file. It is immutable.
type Set struct {
	routes       map[string][]*Rule
	services     map[string]*ServiceLine
	byHost       map[string][]*Rule // by HTTP host, longest prefix first
	hostServices map[string]bool    // services named by route lines with "at"
	order        []string

	organisations map[string]*OrganisationLine // by name
	byKey         map[string]*OrganisationLine // by digest of the key

	parsedLines map[string]lineContent // lines without findings, by their text
}

// lineContent is the parsed content of a line: a service line, an organisation line or a
// rule.
type lineContent struct {
	line         string // shared by the versions that have the line, no part of a file's text
	service      *ServiceLine
	organisation *OrganisationLine
	rule         *Rule
}

// Services returns the names of all services in the order of the file.
func (s *Set) Services() []string { return s.order }

// Service returns the service line of a service, or nil.
func (s *Set) Service(name string) *ServiceLine { return s.services[name] }

// Terms returns the terms of a service, or the defaults if it has no line.
func (s *Set) Terms(name string) *contract.Service {
	if line := s.services[name]; line != nil {
		return line.terms
	}
	return contract.NewService(name)
}

// Routes returns the route lines of a service in the order of the file.
func (s *Set) Routes(service string) []*Rule { return s.routes[service] }

// HasService reports whether any line names the service.
func (s *Set) HasService(service string) bool {
	return s.services[service] != nil || len(s.routes[service]) > 0 || s.hostServices[service]
}

// HasHost reports whether any rule matches requests to an HTTP host.
func (s *Set) HasHost(host string) bool { return len(s.byHost[host]) > 0 }

// MatchHost returns the host's rule with the longest prefix that matches a path,
// or nil. The path is escaped, as in the request line.
func (s *Set) MatchHost(host, escapedPath string) *Rule {
	for _, r := range s.byHost[host] {
		if strings.HasPrefix(escapedPath, r.prefix) {
			return r
		}
	}
	return nil
}

// Bulk reports whether any rule of an HTTP host expects large bodies.
func (s *Set) Bulk(host string) bool {
	return slices.ContainsFunc(s.byHost[host], func(r *Rule) bool { return r.Contract().Bulk() })
}

// LinkedServices returns the services that requests to a host may be sent to, and
// transitively those that share a host with any of them, sorted. Entry hosts that
// serve all of these see every request for each of them. It returns none if no
// rule names the host.
func (s *Set) LinkedServices(host string) []string {
	if !s.HasHost(host) {
		return nil
	}
	services, hosts := map[string]bool{}, map[string]bool{host: true}
	for grown := true; grown; {
		grown = false
		for name, rules := range s.byHost {
			grown = addLinked(name, rules, services, hosts) || grown
		}
	}
	return slices.Sorted(maps.Keys(services))
}

// addLinked adds a host and its services if the host or one of its services is
// already in the sets, and reports whether the sets grew.
func addLinked(name string, rules []*Rule, services, hosts map[string]bool) bool {
	linked := hosts[name]
	for _, r := range rules {
		for _, service := range r.Services() {
			linked = linked || services[service]
		}
	}
	if !linked {
		return false
	}
	before := len(services) + len(hosts)
	hosts[name] = true
	for _, r := range rules {
		for _, service := range r.Services() {
			services[service] = true
		}
	}
	return len(services)+len(hosts) > before
}

// Match returns the first rule that matches a request, or nil. The path is
// escaped, as in the request line.
func (s *Set) Match(service, method, escapedPath string, header http.Header) *Rule {
	var buffer [stackSegments]string
	segments, ok := pathSegments(escapedPath, buffer[:0])
	if !ok {
		return nil
	}
	for _, r := range s.routes[service] {
		if r.matches(method, segments, header) {
			return r
		}
	}
	return nil
}
