package rule

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/finding"
)

// linter finds what is well formed and yet surely not meant.
type linter struct {
	set      *Set
	findings finding.List
}

// lint returns the findings about the whole set.
func lint(set *Set) finding.List {
	l := &linter{set: set}
	for _, service := range set.order {
		l.service(service)
		for n, r := range set.routes[service] {
			l.repeats(r)
			l.covered(r, set.routes[service][:n])
			l.conditions(r)
		}
	}
	return l.findings
}

func (l *linter) fail(place finding.Place, text, hint string) {
	l.findings.Add(finding.Error, place, text, hint)
}

func (l *linter) warn(place finding.Place, text, hint string) {
	l.findings.Add(finding.Warning, place, text, hint)
}

func (l *linter) service(name string) {
	line := l.set.services[name]
	routes := l.set.routes[name]
	if line != nil && len(routes) == 0 && !l.set.targets[name] {
		l.fail(line.place, fmt.Sprintf("service %s has no route line, so every request for it is refused", name),
			"add a line \"route "+name+": ...\", or remove this one")
		return
	}
	if line != nil {
		l.policy(line)
		return
	}
	if len(routes) > 0 {
		l.unowned(name, routes[0])
	}
}

// unowned reports routes whose service has no line.
func (l *linter) unowned(name string, first *Rule) {
	if hint := nearestHint(name, l.otherServices(name)); hint != "" {
		l.fail(first.place, fmt.Sprintf("no service line names %s", name), hint)
		return
	}
	l.warn(first.place, fmt.Sprintf("service %s has no service line, so nobody is told of its backlog", name),
		"add a line \"service "+name+": owner NAME # who: why\"")
}

func (l *linter) otherServices(name string) []string {
	var all []string
	for other := range l.set.services {
		if len(other) > maxNearestDistance && other != name {
			all = append(all, other)
		}
	}
	return all
}

func (l *linter) policy(line *ServiceLine) {
	name := line.terms.Policy()
	if name == "" || slices.Contains(contract.PolicyNames(), name) {
		return
	}
	hint := nearestHint(name, contract.PolicyNames())
	if hint == "" {
		hint = "known are " + strings.Join(contract.PolicyNames(), ", ")
	}
	l.fail(line.place, fmt.Sprintf("service %s: there is no policy %s", line.terms.Name(), name), hint)
}

// repeats reports requests that would be sent again though they may not.
func (l *linter) repeats(r *Rule) {
	terms := r.contract
	if terms.Retries() == 0 && !terms.Hedge() {
		return
	}
	word := "retries"
	if terms.Hedge() {
		word = "hedge"
	}
	if terms.Once() {
		l.fail(r.place, "a rule with once cannot have "+word, "remove one of the two")
		return
	}
	if len(r.methods) == 0 {
		l.warn(r.place, "the rule matches every method, so "+word+" would send POST and PATCH again", "name the methods, such as GET,HEAD")
		return
	}
	for _, m := range r.methods {
		if !slices.Contains(idempotentMethods, m) && slices.Contains(httpMethods, m) {
			l.fail(r.place, fmt.Sprintf("%s is not idempotent, so the rule cannot have %s", m, word), "remove "+word+", or give "+m+" a rule of its own")
			return
		}
	}
}

// covered reports a rule that no request reaches.
func (l *linter) covered(r *Rule, earlier []*Rule) {
	by := r.coveredBy(earlier)
	if len(by) == 0 {
		return
	}
	first := by[0]
	switch {
	case len(by) == 1 && r.matchesAlike(first) && *r.contract == *first.contract:
		l.fail(r.place, fmt.Sprintf("the rule repeats line %d", first.place.Line()), "remove one of the two")
	case len(by) == 1 && r.matchesAlike(first):
		l.fail(r.place, fmt.Sprintf("the rule contradicts line %d: the same requests, other terms", first.place.Line()), "keep one of the two")
	default:
		l.fail(r.place, "no request reaches the rule: "+lines(by)+" matched before", "move it up, or remove it")
	}
}

func lines(all []*Rule) string {
	var numbers []string
	for _, r := range all {
		numbers = append(numbers, fmt.Sprint(r.place.Line()))
	}
	if len(numbers) == 1 {
		return "line " + numbers[0]
	}
	return "lines " + strings.Join(numbers, ", ") + " together"
}

// unseenHeaders are taken out of the headers before rules are matched.
var unseenHeaders = []string{"Host", "Content-Length", "Transfer-Encoding", "Trailer"}

func (l *linter) conditions(r *Rule) {
	seen := map[string]string{}
	for _, c := range r.conditions {
		if slices.Contains(unseenHeaders, http.CanonicalHeaderKey(c.header)) {
			l.fail(r.place, "rules do not see the header "+c.header, "use another header")
		}
		if old, ok := seen[c.header]; ok && old == c.value {
			l.warn(r.place, "the condition on "+c.header+" stands twice", "keep one")
		}
		seen[c.header] = c.value
	}
}
