// Package rule reads the operators' rules file: one rule a line, each ending
// in a comment that names who asked for it and why.
//
//	service catalogue: owner "Comptoir", spread 3, probe 1%, backlog 30 for 2s # M. Tremblay: counter lookups
//	route catalogue GET,HEAD /lookup/**: deadline 300ms, retries 2             # M. Tremblay: a piercer waits
//	route checkout POST /payments when X-Channel=counter: once Idempotency-Key # L. Roy: never paid twice
//
// A service line binds a whole service; of the route lines, the first one
// that matches a request gives its contract.
//
// Usage:
//
//	set, findings := rule.Parse("rules", text)
//	if findings.HasErrors() { return findings.Err() }
//	r := set.Match("catalogue", "GET", "/lookup/42", header)
package rule

import (
	"net/http"
	"path"
	"slices"
	"strings"

	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/finding"
)

// MaxFileBytes is the largest rules file that is accepted.
const MaxFileBytes = 1 << 20

// Condition asks for one value of a request header.
type Condition struct {
	header string
	value  string
}

// Header returns the header's name.
func (c Condition) Header() string { return c.header }

// Value returns the value that the header must have.
func (c Condition) Value() string { return c.value }

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
	conditions []Condition
	contract   *contract.Contract
	reason     Reason
	text       string
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

// Matches reports whether a request of the rule's service falls under it.
func (r *Rule) Matches(method, urlPath string, header http.Header) bool {
	if len(r.methods) > 0 && !slices.Contains(r.methods, method) {
		return false
	}
	if !matchPath(r.path, urlPath) {
		return false
	}
	for _, c := range r.conditions {
		if header.Get(c.header) != c.value {
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
	order    []string
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

// Knows reports whether any line names the service.
func (s *Set) Knows(service string) bool { return slices.Contains(s.order, service) }

// Match returns the first rule that a request falls under, or nil.
func (s *Set) Match(service, method, urlPath string, header http.Header) *Rule {
	for _, r := range s.routes[service] {
		if r.Matches(method, urlPath, header) {
			return r
		}
	}
	return nil
}

// anySuffix at the end of a pattern matches any number of path segments.
const anySuffix = "/**"

func matchPath(pattern, urlPath string) bool {
	if pattern == "" {
		return true
	}
	prefix, open := strings.CutSuffix(pattern, anySuffix)
	if !open {
		ok, err := path.Match(pattern, urlPath)
		return err == nil && ok
	}
	if !strings.ContainsAny(prefix, `*?[\`) {
		return urlPath == prefix || strings.HasPrefix(urlPath, prefix+"/")
	}
	return matchOpenPattern(prefix, urlPath)
}

// matchOpenPattern matches a pattern with wildcards against the leading
// segments of a path.
func matchOpenPattern(prefix, urlPath string) bool {
	want := strings.Count(prefix, "/")
	segments := strings.SplitAfterN(urlPath, "/", want+2)
	if len(segments) < want+1 {
		return false
	}
	head := strings.TrimSuffix(strings.Join(segments[:want+1], ""), "/")
	ok, err := path.Match(prefix, head)
	return err == nil && ok
}
