package rule_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/rule"
)

func TestPathPatterns(t *testing.T) {
	cases := []struct {
		pattern, path string
		want          bool
	}{
		{"/x", "/x", true},
		{"/x", "/x/", false},
		{"/x/", "/x/", true},
		{"/x/", "/x", false},
		{"/x", "/X", false},
		{"/x/*", "/x/1", true},
		{"/x/*", "/x/", false},
		{"/x/*", "/x/1/2", false},
		{"/x/*", "/x/a%2Fb", true},
		{"/x/*/y", "/x/1/y", true},
		{"/x/**", "/x", true},
		{"/x/**", "/x/", true},
		{"/x/**", "/x/1/2/", true},
		{"/x/**", "/xy", false},
		{"/*/**", "/x/1", true},
		{"/**", "/", true},
		{"/img-*.png", "/img-1.png", true},
		{"/img-*.png", "/img-.png", true},
		{"/img-*.png", "/img-1.jpg", false},
		{"/a*b*c", "/axxbyyc", true},
		{"/a*b*c", "/axxc", false},
		{"/caf%C3%A9", "/caf%c3%a9", true},
		{"/café", "/caf%C3%A9", true},
		{"/x/**", "//x//1", true},
		{"/x/**", "/x/../y", false},
		{"/x/**", "/x/%2e%2E/y", false},
		{"/x/**", "/x/..%2fy", false},
		{"/x/**", "/x/..;a=b/y", false},
		{"/x/**", "/x/%252e%252e/y", false},
		{"/x/**", "/x/%5c..", false},
		{"/x/**", "/x/1%00", false},
		{"/x/**", "/x/%", false},
		{"/x/**", "/x/...", true},
		{"/**", "*", false},
	}
	for _, c := range cases {
		set, findings := rule.Parse("rules", "route a GET "+c.pattern+" # w: why")
		must.NoError(t, findings.Err(), must.Sprint(c.pattern))
		must.Eq(t, c.want, set.Match("a", "GET", c.path, nil) != nil, must.Sprintf("%s against %s", c.path, c.pattern))
	}
}

func TestNoRuleMatchesAnAmbiguousPath(t *testing.T) {
	set, findings := rule.Parse("rules", "route a # w: everything")
	must.NoError(t, findings.Err())
	must.NotNil(t, set.Match("a", "GET", "*", nil))
	must.NotNil(t, set.Match("a", "GET", "/x/1", nil))
	must.Nil(t, set.Match("a", "GET", "/x/../1", nil))
}

func TestConditions(t *testing.T) {
	set, findings := rule.Parse("rules", `route a when x-channel=counter and X-Mode="two words" # w: why`)
	must.NoError(t, findings.Err())
	matches := func(header http.Header) bool { return set.Match("a", "GET", "/", header) != nil }
	must.True(t, matches(http.Header{"X-Channel": {"counter"}, "X-Mode": {"two words"}}))
	must.True(t, matches(http.Header{"X-Channel": {"web", "counter"}, "X-Mode": {"two words"}}))
	must.True(t, matches(http.Header{"X-Channel": {"web, counter"}, "X-Mode": {"two words"}}))
	must.False(t, matches(http.Header{"X-Channel": {"Counter"}, "X-Mode": {"two words"}}))
	must.False(t, matches(http.Header{"X-Channel": {"counters"}, "X-Mode": {"two words"}}))
	must.False(t, matches(http.Header{"X-Channel": {"counter"}}))
}
