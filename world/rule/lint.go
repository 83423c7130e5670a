package rule

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/finding"
)

// linter reports rules that are syntactically valid but almost certainly mistakes.
type linter struct {
	set      *Set
	findings finding.List
}

// lint returns the findings for a whole set.
func lint(set *Set) finding.List {
	l := &linter{set: set}
	for _, service := range set.order {
		l.checkService(service)
		for n, r := range set.routes[service] {
			l.checkRepeats(r)
			l.checkReachable(r, set.routes[service][:n])
			l.checkConditions(r)
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

func (l *linter) checkService(name string) {
	line := l.set.services[name]
	routes := l.set.routes[name]
	if line != nil && len(routes) == 0 && !l.set.hostServices[name] {
		l.fail(line.place, fmt.Sprintf("service %s has no route line, so every request for it is refused", name),
			"add a line \"route "+name+": ...\", or remove this one")
		return
	}
	if line != nil {
		l.checkPolicy(line)
		return
	}
	if len(routes) > 0 {
		l.reportMissingService(name, routes[0])
	}
}

// reportMissingService reports routes whose service has no service line.
func (l *linter) reportMissingService(name string, first *Rule) {
	if hint := nearestHint(name, l.otherServices(name)); hint != "" {
		l.fail(first.place, fmt.Sprintf("no service line names %s", name), hint)
		return
	}
	l.warn(first.place, fmt.Sprintf("service %s has no service line, so nobody is notified of its backlog", name),
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

func (l *linter) checkPolicy(line *ServiceLine) {
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

// checkRepeats reports retries or hedging of requests that must not be repeated.
func (l *linter) checkRepeats(r *Rule) {
	terms := r.contract
	if terms.Retries() == 0 && !terms.Hedge() {
		return
	}
	feature := "retries"
	if terms.Hedge() {
		feature = "hedge"
	}
	if terms.Once() {
		l.fail(r.place, "a rule with once cannot have "+feature, "remove one of the two")
		return
	}
	if len(r.methods) == 0 {
		l.warn(r.place, "the rule matches every method, so "+feature+" would send POST and PATCH again", "name the methods, such as GET,HEAD")
		return
	}
	for _, m := range r.methods {
		if !slices.Contains(idempotentMethods, m) && slices.Contains(httpMethods, m) {
			l.fail(r.place, fmt.Sprintf("%s is not idempotent, so the rule cannot have %s", m, feature), "remove "+feature+", or give "+m+" a rule of its own")
			return
		}
	}
}

// checkReachable reports a rule that never matches because earlier ones do.
func (l *linter) checkReachable(r *Rule, earlier []*Rule) {
	by := r.coveredBy(earlier)
	if len(by) == 0 {
		return
	}
	first := by[0]
	switch {
	case len(by) == 1 && r.matchesSameRequests(first) && *r.contract == *first.contract:
		l.fail(r.place, fmt.Sprintf("the rule repeats line %d", first.place.Line()), "remove one of the two")
	case len(by) == 1 && r.matchesSameRequests(first):
		l.fail(r.place, fmt.Sprintf("the rule contradicts line %d: the same requests, other terms", first.place.Line()), "keep one of the two")
	default:
		l.fail(r.place, "no request reaches the rule: "+lineNumbers(by)+" matched before", "move it up, or remove it")
	}
}

func lineNumbers(all []*Rule) string {
	var numbers []string
	for _, r := range all {
		numbers = append(numbers, fmt.Sprint(r.place.Line()))
	}
	if len(numbers) == 1 {
		return "line " + numbers[0]
	}
	return "lines " + strings.Join(numbers, ", ") + " together"
}

// strippedHeaders are removed from a request's headers before rules are matched.
var strippedHeaders = []string{"Host", "Content-Length", "Transfer-Encoding", "Trailer"}

func (l *linter) checkConditions(r *Rule) {
	seen := map[string]string{}
	for _, c := range r.conditions {
		if slices.Contains(strippedHeaders, http.CanonicalHeaderKey(c.header)) {
			l.fail(r.place, "rules do not see the header "+c.header, "use another header")
		}
		if old, ok := seen[c.header]; ok && old == c.value {
			l.warn(r.place, "the condition on "+c.header+" stands twice", "keep one")
		}
		seen[c.header] = c.value
	}
}
