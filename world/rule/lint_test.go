package rule_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/rule"
)

// withService prepends a service line to route lines, which then start at line 2.
func withService(routes string) string { return "service a: owner O # w: why\n" + routes }

func TestMistakesAreFound(t *testing.T) {
	cases := []struct {
		name, text, place, want string
		severity                finding.Severity
	}{
		{"shadowed", withService("route a GET /x/**: deadline 1s # w: y\nroute a GET /x/1: deadline 2s # w: y"), "rules:3:7", "line 2 matched before", finding.Error},
		{"shadowed by two", withService("route a GET /x: deadline 1s # w: y\nroute a HEAD /x # w: y\nroute a GET,HEAD /x: deadline 2s # w: y"), "rules:4:7", "lines 2, 3 together", finding.Error},
		{"contradicts", withService("route a GET /x: deadline 1s # w: y\nroute a GET /x: deadline 2s # w: y"), "rules:3:7", "contradicts line 2", finding.Error},
		{"repeats", withService("route a GET /x: deadline 1s # w: y\nroute a GET /x: deadline 1s # v: z"), "rules:3:7", "repeats line 2", finding.Error},
		{"no routes", "service a: owner O # w: why", "rules:1:9", "has no route line", finding.Error},
		{"no service line", "route a # w: why", "rules:1:7", "has no service line", finding.Warning},
		{"misspelt service", "service catalogue: owner O # w: y\nroute catalogue # w: y\nroute catalouge # w: y", "rules:3:7", "no service line names catalouge", finding.Error},
		{"retries of POST", withService("route a GET,POST: retries 1 # w: y"), "rules:2:7", "POST is not idempotent", finding.Error},
		{"hedge of PATCH", withService("route a PATCH: hedge # w: y"), "rules:2:7", "PATCH is not idempotent", finding.Error},
		{"retries of all", withService("route a: retries 1 # w: y"), "rules:2:7", "matches every method", finding.Warning},
		{"once with retries", withService("route a POST: once, retries 1 # w: y"), "rules:2:7", "once cannot have retries", finding.Error},
		{"missing unit", withService("route a: deadline 300 # w: y"), "rules:2:19", "has no unit", finding.Error},
		{"policy", "service a: policy leest # w: y\nroute a # w: y", "rules:1:9", "there is no policy leest", finding.Error},
		{"term", withService("route a: deadlin 1s # w: y"), "rules:2:10", "there is no term deadlin", finding.Error},
		{"method", withService("route a GET,get: deadline 1s # w: y"), "rules:2:13", "get is not a method", finding.Error},
		{"method twice", withService("route a GET,GET # w: y"), "rules:2:13", "stands twice", finding.Error},
		{"keyword", withService("rout a GET # w: y\nroute a # w: y"), "rules:2:1", "cannot begin with rout", finding.Error},
		{"no reason", withService("route a: deadline 1s"), "rules:2:21", "who asked for it", finding.Error},
		{"half a reason", withService("route a: deadline 1s # because"), "rules:2:22", "form who: why", finding.Error},
		{"query", withService("route a GET /x?y # w: y"), "rules:2:13", "no query", finding.Error},
		{"inner **", withService("route a GET /x/**/y # w: y"), "rules:2:13", "last segment", finding.Error},
		{"dots", withService("route a GET /x/%2e%2e/y # w: y"), "rules:2:13", "no request matches", finding.Error},
		{"encoding", withService("route a GET /x/%zz # w: y"), "rules:2:13", "no encoding", finding.Error},
		{"host header", withService("route a when Host=x # w: y"), "rules:2:7", "do not see the header Host", finding.Error},
		{"upper case", "service A: owner O # w: y\nroute A # w: y", "rules:1:9", "cannot name a service", finding.Error},
		{"NUL", withService("route a # w: \x00"), "rules:2:14", "U+0000", finding.Error},
		{"not UTF-8", withService("route a # w: \xff"), "rules:2:1", "not UTF-8", finding.Error},
		{"too large", strings.Repeat("# x\n", 10<<20/4), "rules:1:1", "the most is", finding.Error},
		{"too many routes", withService(strings.Repeat("route a # w: y\n", rule.MaxRoutes+1)), "rules:1002:7", "over 1000 route lines", finding.Error},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, findings := rule.Parse("rules", c.text)
			var seen []string
			for _, f := range findings.All() {
				seen = append(seen, f.String())
				if f.Place().String() == c.place && strings.Contains(f.Text(), c.want) && f.Severity() == c.severity {
					return
				}
			}
			t.Fatalf("want %q at %s, found:\n%s", c.want, c.place, strings.Join(seen[:min(len(seen), 10)], "\n"))
		})
	}
}

func TestAnAcceptedFileRemainsReadable(t *testing.T) {
	text := "route a POST: retries 1 # w: taken by an earlier release"
	_, findings := rule.Parse("rules", text)
	must.True(t, findings.HasErrors())
	set, findings := rule.Read("rules", text)
	must.NoError(t, findings.Err())
	must.NotNil(t, set.Match("a", "POST", "/", nil))
}
