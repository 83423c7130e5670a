package rule_test

import (
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/rule"
	"github.com/snipebeam/snipebeam/world/testseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

func drawRouteLine(t *rapid.T) string {
	space := func() string { return rapid.SampledFrom([]string{" ", "  ", "\t"}).Draw(t, "space") }
	line := "route" + space() + rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
	if methods := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"GET", "HEAD", "POST", "PUT"}), 0, 2, rapid.ID[string]).Draw(t, "methods"); len(methods) > 0 {
		line += space() + strings.Join(methods, ",")
	}
	if rapid.Bool().Draw(t, "hasPath") {
		line += space() + rapid.StringMatching(`(/([xy]|\*|x\*)){1,3}(/\*\*)?`).Draw(t, "path")
	}
	if rapid.Bool().Draw(t, "hasCondition") {
		line += space() + "when" + space() + rapid.SampledFrom([]string{"X-A=1", `x-a = "a b"`, "X-B=/p"}).Draw(t, "condition")
	}
	terms := rapid.SliceOfN(rapid.SampledFrom([]string{"deadline 300ms", "zone  require", "once Key", "priority high", "maxBody 2MB", "callerRate 50/s"}), 0, 3).Draw(t, "terms")
	if len(terms) > 0 {
		line += ":" + strings.Join(terms, rapid.SampledFrom([]string{",", ", ", " , "}).Draw(t, "comma"))
	}
	return line + space() + "#" + rapid.SampledFrom([]string{"w: why", "  w :why: and why "}).Draw(t, "reason")
}

func drawFile(t *rapid.T) string {
	lines := rapid.SliceOfN(rapid.OneOf(
		rapid.Custom(drawRouteLine),
		rapid.SampledFrom([]string{"", "  ", "# a comment", "   # another ", "service a: owner \"O P\",probe 1% # w: y"}),
	), 0, 12).Draw(t, "lines")
	return strings.Join(lines, rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end"))
}

func TestFormatKeepsTheMeaning(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawFile(t)
		formatted, findings := rule.Format("rules", text)
		must.False(t, findings.HasErrors())
		again, _ := rule.Format("rules", formatted)
		must.Eq(t, formatted, again)
		must.Eq(t, strings.Count(text, "#"), strings.Count(formatted, "#"))
		before, beforeFindings := rule.Parse("rules", text)
		after, afterFindings := rule.Parse("rules", formatted)
		must.Eq(t, texts(before), texts(after))
		must.Eq(t, len(beforeFindings.All()), len(afterFindings.All()))
	})
}

func texts(set *rule.Set) []string {
	var all []string
	for _, name := range set.Services() {
		if line := set.Service(name); line != nil {
			all = append(all, line.String()+" "+line.Place().String()[:7])
		}
		for _, r := range set.Routes(name) {
			all = append(all, r.String()+" "+r.Reason().Who()+" "+r.Reason().Why())
		}
	}
	return all
}

// A rule that is reported as out of reach is never the one that matches.
func TestNoRequestReachesAShadowedRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, findings := rule.Parse("rules", drawFile(t))
		dead := map[string]bool{}
		for _, f := range findings.All() {
			if strings.Contains(f.Text(), "no request reaches") || strings.Contains(f.Text(), "contradicts") || strings.Contains(f.Text(), "repeats") {
				dead[f.Place().String()] = true
			}
		}
		for range 20 {
			method := rapid.SampledFrom([]string{"GET", "HEAD", "POST", "PUT", "DELETE", "REPORT"}).Draw(t, "method")
			path := rapid.StringMatching(`(/([xyz]|xz|)){1,4}`).Draw(t, "path")
			header := http.Header{}
			if rapid.Bool().Draw(t, "hasHeader") {
				header.Set("X-A", rapid.SampledFrom([]string{"1", "a b", "2"}).Draw(t, "value"))
			}
			if r := set.Match("a", method, path, header); r != nil {
				must.False(t, dead[r.Place().String()], must.Sprintf("%s %s reached %s", method, path, r))
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add("service a: owner \"O\", probe 1%, backlog 30 for 2s # w: y\nroute a GET,HEAD /x/**: deadline 300ms # w: y")
	f.Add("route a when X=\"#\" and Y=/p: once # w: y")
	f.Add("\x00\nroute\n#\n\"")
	f.Fuzz(func(t *testing.T, text string) {
		set, findings := rule.Parse("rules", text)
		set.Match("a", "GET", text, nil)
		formatted, formatFindings := rule.Format("rules", text)
		if formatFindings.HasErrors() {
			must.True(t, findings.HasErrors())
			return
		}
		again, _ := rule.Format("rules", formatted)
		must.Eq(t, formatted, again)
	})
}

// Reading a change gives what reading the whole file gives.
func TestReadChangeGivesTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, _ := rule.Read("rules", drawFile(t))
		text := drawFile(t)
		whole, wholeFindings := rule.Read("rules", text)
		change, changeFindings := rule.ReadIncremental(before, "rules", text)
		must.Eq(t, placed(whole), placed(change))
		must.Eq(t, places(wholeFindings), places(changeFindings))
	})
}

func placed(set *rule.Set) []string {
	var all []string
	for _, name := range set.Services() {
		if line := set.Service(name); line != nil {
			all = append(all, line.Place().String()+line.String())
		}
		for _, r := range set.Routes(name) {
			all = append(all, r.Place().String()+r.String())
		}
	}
	return all
}

func places(findings finding.List) []string {
	var all []string
	for _, f := range findings.All() {
		all = append(all, f.String())
	}
	return all
}

func TestMatchingAllocatesNothing(t *testing.T) {
	set, findings := rule.Parse("rules", "route a GET /x/*/y/**: deadline 1s # w: why")
	must.NoError(t, findings.Err())
	must.Zero(t, testing.AllocsPerRun(100, func() { set.Match("a", "GET", "/x/1/y/2/3", nil) }))
}
