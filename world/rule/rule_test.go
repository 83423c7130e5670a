package rule_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/rule"
)

func TestParseReportsEveryMistakeWithItsPosition(t *testing.T) {
	text := `service catalogue: owner "Comptoir", probe 1 # Marie: lookups
route catalogue GET /lookup/**: deadline 300, retries 2 # Marie: a piercer waits
route catalogue FETCH /x: deadlin 2s # Marie: typo
route checkout POST /pay: once, retries 1 # Luc: never twice
route checkout POST /pay2: once
`
	_, findings := rule.Parse("rules", text)
	places := []string{}
	for _, f := range findings.All() {
		places = append(places, f.Place().String())
	}
	must.Eq(t, []string{"rules:1:44", "rules:2:42", "rules:3:17", "rules:3:27", "rules:4:7", "rules:4:7", "rules:5:32"}, places)
}

func TestMatchReturnsTheFirstRule(t *testing.T) {
	set, findings := rule.Parse("rules", `route a GET /x/**: deadline 1s # w: first
route a: deadline 2s # w: rest`)
	must.NoError(t, findings.Err())
	must.Eq(t, "first", set.Match("a", "GET", "/x/1/2", nil).Reason().Why())
	must.Eq(t, "rest", set.Match("a", "GET", "/xy", nil).Reason().Why())
	must.Nil(t, set.Match("b", "GET", "/xy", nil))
}
