// Package rule reads the operators' rules file: one rule a line, each ending
// in a comment that names who asked for it and why.
//
//	service catalogue: owner "Comptoir", spread 3, probe 1%, backlog 30 for 2s # M. Tremblay: counter lookups
//	route catalogue GET,HEAD /lookup/**: deadline 300ms, retries 2             # M. Tremblay: a piercer waits
//	route checkout POST /payments when X-Channel=counter: once Idempotency-Key # L. Roy: never paid twice
//
//	route catalogue=90,trial=10 at counter.example /lookup/: deadline 300ms     # M. Tremblay: a piercer waits
//
// A service line binds a whole service; of the route lines, the first one
// that matches a request gives its contract.
//
// A route line with "at" is for requests to a host and below a path prefix,
// whatever service their callers know of: of the lines of a host, the one with
// the longest prefix gives the contract, and the service or the services among
// which requests are divided by weight.
//
// A path pattern matches whole paths, segment by segment: * stands for any
// characters within a segment, /** at the end for any number of segments, none
// included. A slash at the end counts. A request path with a segment "." or
// "..", however encoded, falls under no rule.
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

// usualSegments is the number of path segments up to which matching allocates
// nothing.
const usualSegments = 16

// Bounds of a rules file.
const (
	MaxFileBytes = 8 << 20
	MaxRoutes    = 1000 // of one service
)

// Reason says who asked for a rule and why.
type Reason struct {
	who string
	why string
}

// Who returns the person or office that asked for the rule.
func (r Reason) Who() string { return r.who }

// Why returns the reason they gave.
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
	host       string // of requests that name no service, empty for others
	prefix     string
	shares     []Share
}

// Share is the part of a rule's requests that goes to a service.
type Share struct {
	service string
	weight  int
}

// Service returns the service.
func (s Share) Service() string { return s.service }

// Weight returns the part of the requests, relative to the other shares.
func (s Share) Weight() int { return s.weight }

// Host returns the host of requests that name no service, empty for others.
func (r *Rule) Host() string { return r.host }

// Prefix returns the path prefix of requests that name no service.
func (r *Rule) Prefix() string { return r.prefix }

// Shares returns the services among which requests are divided, none if all
// of them go to one.
func (r *Rule) Shares() []Share { return r.shares }

// Services returns the services to which the rule's requests may go.
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

// Place returns where the rule stands.
func (r *Rule) Place() finding.Place { return r.place }

// Service returns the service that the rule is for.
func (r *Rule) Service() string { return r.service }

// Methods returns the methods that match, none for all.
func (r *Rule) Methods() []string { return r.methods }

// Path returns the path pattern, empty for all paths.
func (r *Rule) Path() string { return r.path }

// Conditions returns the header conditions, all of which must hold.
func (r *Rule) Conditions() []Condition { return r.conditions }

// Contract returns what the rule promises.
func (r *Rule) Contract() *contract.Contract { return r.contract }

// Reason returns who asked for the rule and why.
func (r *Rule) Reason() Reason { return r.reason }

// String returns the rule in canonical form.
func (r *Rule) String() string { return r.text }

// matches reports whether a request of the rule's service falls under it.
func (r *Rule) matches(method string, segments []string, header http.Header) bool {
	if len(r.methods) > 0 && !slices.Contains(r.methods, method) {
		return false
	}
	if !r.pattern.matches(segments) {
		return false
	}
	for _, c := range r.conditions {
		if !c.holds(header) {
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

// Place returns where the line stands.
func (s *ServiceLine) Place() finding.Place { return s.place }

// Terms returns what binds the whole service.
func (s *ServiceLine) Terms() *contract.Service { return s.terms }

// Reason returns who asked for the line and why.
func (s *ServiceLine) Reason() Reason { return s.reason }

// String returns the line in canonical form.
func (s *ServiceLine) String() string { return s.text }

// Set is the content of a rules file. It is immutable.
type Set struct {
	routes   map[string][]*Rule
	services map[string]*ServiceLine
	hosts    map[string][]*Rule // by host, the longest prefix first
	targets  map[string]bool    // services of rules of hosts
	order    []string
	lines    map[string]lineContent // lines without findings, by their text
}

// lineContent is what a line holds: a service line or a rule.
type lineContent struct {
	service *ServiceLine
	rule    *Rule
}

// Services returns the names of all services in the order of the file.
func (s *Set) Services() []string { return s.order }

// Service returns the service line of a service, or nil.
func (s *Set) Service(name string) *ServiceLine { return s.services[name] }

// Terms returns what binds a service, with defaults if it has no line.
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
	return s.services[service] != nil || len(s.routes[service]) > 0 || s.targets[service]
}

// HasHost reports whether any rule is for requests to a host.
func (s *Set) HasHost(host string) bool { return len(s.hosts[host]) > 0 }

// MatchHost returns the rule of a host with the longest prefix of a path, or nil. The
// path is escaped, as it stands in the request.
func (s *Set) MatchHost(host, escapedPath string) *Rule {
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(escapedPath, r.prefix) {
			return r
		}
	}
	return nil
}

// Bulk reports whether requests to a host may have large bodies.
func (s *Set) Bulk(host string) bool {
	return slices.ContainsFunc(s.hosts[host], func(r *Rule) bool { return r.Contract().Bulk() })
}

// LinkedServices returns the services to which requests to a host may go, and those
// that share a host with any of them, and so on, in order. Entry hosts that
// serve all of them know all requests for each. There are none if no rule is
// for the host.
func (s *Set) LinkedServices(host string) []string {
	if !s.HasHost(host) {
		return nil
	}
	services, hosts := map[string]bool{}, map[string]bool{host: true}
	for grown := true; grown; {
		grown = false
		for name, rules := range s.hosts {
			grown = join(name, rules, services, hosts) || grown
		}
	}
	return slices.Sorted(maps.Keys(services))
}

// join adds a host and its services if it shares anything with those that are
// known, and reports whether that added anything.
func join(name string, rules []*Rule, services, hosts map[string]bool) bool {
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

// Match returns the first rule that a request falls under, or nil. The path is
// escaped, as it stands in the request.
func (s *Set) Match(service, method, escapedPath string, header http.Header) *Rule {
	var kept [usualSegments]string
	segments, ok := pathSegments(escapedPath, kept[:0])
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
