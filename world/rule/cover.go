package rule

import "slices"

// httpMethods are the methods that a rule may name (RFC 9110, RFC 5789).
var httpMethods = []string{"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"}

// idempotentMethods can be repeated safely (RFC 9110, section 9.2.2).
var idempotentMethods = []string{"GET", "HEAD", "PUT", "DELETE", "OPTIONS"}

// covers reports whether this rule matches every request with the method that
// the other one matches. The empty method represents every method that no rule
// names.
func (r *Rule) covers(other *Rule, method string) bool {
	if len(r.methods) > 0 && !slices.Contains(r.methods, method) {
		return false
	}
	if !r.pattern.covers(other.pattern) {
		return false
	}
	for _, c := range r.conditions {
		if !slices.Contains(other.conditions, c) {
			return false
		}
	}
	return true
}

// matchesSameRequests reports whether both rules match the same requests.
func (r *Rule) matchesSameRequests(other *Rule) bool {
	return sameElements(r.methods, other.methods) && r.pattern.equal(other.pattern) &&
		sameElements(r.conditions, other.conditions)
}

func sameElements[E comparable](a, b []E) bool { return subset(a, b) && subset(b, a) }

func subset[E comparable](a, b []E) bool {
	for _, one := range a {
		if !slices.Contains(b, one) {
			return false
		}
	}
	return true
}

// coveredBy returns the earlier rules that together match every request that this
// rule matches, or none if some request is left for it.
func (r *Rule) coveredBy(earlier []*Rule) []*Rule {
	methods := r.methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	var all []*Rule
	for _, method := range methods {
		at := slices.IndexFunc(earlier, func(one *Rule) bool { return one.covers(r, method) })
		if at < 0 {
			return nil
		}
		if !slices.Contains(all, earlier[at]) {
			all = append(all, earlier[at])
		}
	}
	return all
}
