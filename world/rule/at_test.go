package rule_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/rule"
)

func TestTheLongestPrefixOfAHostWins(t *testing.T) {
	set, findings := rule.Parse("rules", `
service shop: owner "Marie" # Marie: why
route shop at A.example /x/: deadline 1s # Marie: why
route pay=90,trial=10 at a.example /x/pay/: deadline 2s, single # Marie: why
route odd at "7.example" "/a=b/": deadline 1s # Marie: why
`)
	must.NoError(t, findings.Err())
	must.Eq(t, "shop", set.MatchHost("a.example", "/x/7").Service())
	must.Eq(t, []string{"pay", "trial"}, set.MatchHost("a.example", "/x/pay/7").Services())
	must.Eq(t, "odd", set.MatchHost("7.example", "/a=b/").Service())
	must.Nil(t, set.MatchHost("a.example", "/x"))
	must.Nil(t, set.MatchHost("b.example", "/x/7"))
	must.Eq(t, []string{"pay", "shop", "trial"}, set.LinkedServices("a.example"))
	must.Nil(t, set.Match("shop", http.MethodGet, "/x/7", nil), must.Sprint("it is not for callers that name the service"))
	text, findings := rule.Format("rules", "route  pay=90,trial=10   at a.example /x/ :single #Marie: why")
	must.NoError(t, findings.Err())
	must.Eq(t, "route pay=90,trial=10 at a.example /x/: single # Marie: why\n", text)
}

func TestLinesOfHostsAreChecked(t *testing.T) {
	for line, want := range map[string]string{
		"route a at b.example /x: single # M: y":           "begins and ends with a slash",
		"route a=0,b=0 at b.example /x/: single # M: y":    "add up to 0",
		"route a=x at b.example /x/: single # M: y":        "",
		"route a=90 /x/**: single # M: y":                  "without a host",
		"route a at b.example /x/ when X=y: single # M: y": "no methods, path pattern or conditions",
	} {
		_, findings := rule.Parse("rules", line)
		must.Error(t, findings.Err(), must.Sprint(line))
		must.StrContains(t, findings.Err().Error(), want)
	}
}
