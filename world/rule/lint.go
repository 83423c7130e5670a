package rule

import "github.com/snipebeam/snipebeam/world/finding"

// lint finds what is well formed and yet surely not meant.
func lint(set *Set) finding.List {
	var findings finding.List
	for _, service := range set.order {
		for _, r := range set.routes[service] {
			lintOnce(&findings, r)
		}
	}
	return findings
}

func lintOnce(findings *finding.List, r *Rule) {
	if r.contract.Once() && r.contract.Retries() > 0 {
		findings.Add(finding.Error, r.place, "a rule with once cannot have retries", "remove one of the two")
	}
}
