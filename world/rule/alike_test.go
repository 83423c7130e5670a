package rule_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/rule"
	"pgregory.net/rapid"
)

// TestALineReadFromOneLikeItIsWhatTheGrammarReads holds lines that differ from an
// earlier one in host, prefix and comment to the same lines read alone.
func TestALineReadFromOneLikeItIsWhatTheGrammarReads(t *testing.T) {
	heads := []string{"route shop", "route shop=90,trial=10", "route  pay", "route pay"}
	terms := []string{"deadline 1s, attempts 2", "deadline 1s , single", "single, bulk", "callerLimit 3", "deadline 1s"}
	hosts := []string{"a.example", "B.example", `"c.example"`, "9bad", "a:b"}
	prefixes := []string{"/", "/x/", "/y/%20/", "/no", "/a:b/", "/z#/", "relative/"}
	reasons := []string{"Marie: why", "Marie:  why", "Marie", "M: a # b", "M: a: b", ": why", `M: "q"`, "M : why", "M: why "}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "lines")
		var all []string
		for range n {
			all = append(all, fmt.Sprintf("%s at %s %s: %s # %s",
				rapid.SampledFrom(heads).Draw(t, "head"), rapid.SampledFrom(hosts).Draw(t, "host"), rapid.SampledFrom(prefixes).Draw(t, "prefix"),
				rapid.SampledFrom(terms).Draw(t, "terms"), rapid.SampledFrom(reasons).Draw(t, "reason")))
		}
		together, findings := rule.Read("rules", strings.Join(all, "\n"))
		failed := 0
		for at, line := range all {
			alone, own := rule.Read("rules", strings.Repeat("\n", at)+line)
			failed += own.Len()
			for _, host := range []string{"a.example", "b.example", "c.example"} {
				for _, path := range prefixes {
					r := alone.MatchHost(host, path+"z")
					other := together.MatchHost(host, path+"z")
					if r == nil || other == nil || other.Place() != r.Place() {
						continue // a line before it has the same prefix
					}
					must.Eq(t, r.String(), other.String())
					must.Eq(t, r.Reason(), other.Reason())
					must.Eq(t, r.Prefix(), other.Prefix())
					must.Eq(t, fmt.Sprint(r.Shares()), fmt.Sprint(other.Shares()))
					must.Eq(t, fmt.Sprint(*r.Contract()), fmt.Sprint(*other.Contract()))
				}
			}
		}
		must.Eq(t, failed, findings.Len())
	})
}

func TestRoutesWithLimitsOfCallersDoNotShareThem(t *testing.T) {
	set, findings := rule.Read("rules", "route a at a.example /x/: callerLimit 3 # M: y\nroute a at a.example /y/: callerLimit 3 # M: y")
	must.Zero(t, findings.Len())
	must.False(t, set.MatchHost("a.example", "/x/1").Contract() == set.MatchHost("a.example", "/y/1").Contract())
}
