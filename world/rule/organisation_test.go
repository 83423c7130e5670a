package rule_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/rule"
)

// organisationRules returns a file with two organisations and two routes.
func organisationRules(keys ...string) string {
	return `service shop: owner "Comptoir" # M. Roy: studios
organisation "atelier nord": keys "` + rule.KeyDigest(keys[0]) + `" "` + rule.KeyDigest(keys[1]) + `", priority 1, rate 12.5/s, burst 20 # M. Roy: studios
organisation sud: priority 0 # M. Roy: all keys were taken away
route shop at counter.example /lookup/: deadline 300ms # M. Roy: a piercer waits
route shop at counter.example /open/: public, deadline 300ms # M. Roy: shop windows
`
}

func TestOrganisationIsFoundByItsKeys(t *testing.T) {
	set, findings := rule.Parse("rules", organisationRules("first", "second"))
	must.NoError(t, findings.Err())
	for _, key := range []string{"first", "second"} {
		o := set.OrganisationOf(key)
		must.NotNil(t, o)
		must.Eq(t, "atelier nord", o.Name())
		must.Eq(t, 1, o.Rank())
		must.Eq(t, 12.5, o.Rate())
		must.Eq(t, 20, o.Burst())
	}
	must.Nil(t, set.OrganisationOf("third"))
	must.Nil(t, set.OrganisationOf(""))
	must.Eq(t, "sud", set.Organisation("sud").Name())
	must.False(t, set.Organisation("sud").Limited())
	must.True(t, set.NeedsKey(set.MatchHost("counter.example", "/lookup/a")))
	must.False(t, set.NeedsKey(set.MatchHost("counter.example", "/open/a")))
}

// A version that takes a key away must not keep the parsed line of the previous version.
func TestKeyThatIsTakenAwayIsUnknownInTheNextVersion(t *testing.T) {
	first, findings := rule.Read("rules", organisationRules("first", "second"))
	must.NoError(t, findings.Err())
	next, findings := rule.ReadIncremental(first, "rules", organisationRules("first", "third"))
	must.NoError(t, findings.Err())
	must.NotNil(t, next.OrganisationOf("first"))
	must.Nil(t, next.OrganisationOf("second"))
	must.NotNil(t, next.OrganisationOf("third"))
	again, findings := rule.ReadIncremental(next, "rules", organisationRules("first", "third"))
	must.NoError(t, findings.Err())
	must.NotNil(t, again.OrganisationOf("third"))
}

func TestOrganisationLinesAreFormatted(t *testing.T) {
	text := organisationRules("first", "second")
	formatted, findings := rule.Format("rules", strings.ReplaceAll(text, ", priority", " ,  priority"))
	must.NoError(t, findings.Err())
	must.Eq(t, text, formatted)
}

func TestInvalidOrganisationLinesAreReported(t *testing.T) {
	digest := rule.KeyDigest("first")
	for text, want := range map[string]string{
		`organisation a: keys "` + digest + "\" # w: y\norganisation b: keys \"" + digest + `" # w: y`: "organisation b has a key of a",
		"organisation a # w: y\norganisation a # w: y":                                                 "organisation a already has a line",
		`organisation a: keys "` + digest[:30] + `" # w: y`:                                            "is not the digest of a key",
		`organisation a: keys "` + strings.Repeat("z", 32) + `" # w: y`:                                "is not the digest of a key",
		`organisation "" # w: y`:                                                                       "the organisation has no name",
		`organisation a: rate 0/s # w: y`:                                                              "is not a rate",
		`organisation a: burst -1 # w: y`:                                                              "",
		`organisation a: priority x # w: y`:                                                            "is not a whole number",
		`organisation a: deadline 1s # w: y`:                                                           "there is no term deadline here",
		`organisatoin a: priority 1 # w: y`:                                                            "a line cannot begin with organisatoin",
		`organisation a: priority 1`:                                                                   "does not say who asked",
		"service a: keys \"" + digest + "\" # w: y":                                                    "there is no term keys here",
	} {
		_, findings := rule.Parse("rules", text)
		must.Error(t, findings.Err(), must.Sprint(text))
		must.StrContains(t, findings.Err().Error(), want)
	}
}
