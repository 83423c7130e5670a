package rule_test

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/rule"
)

func TestExampleFilesAreClean(t *testing.T) {
	for _, name := range []string{"trois-rivieres.rules", "attica.rules"} {
		text, err := os.ReadFile("../../examples/" + name)
		must.NoError(t, err)
		set, findings := rule.Parse(name, string(text))
		must.SliceEmpty(t, findings.All())
		must.Len(t, 4, set.Services())
		formatted, _ := rule.Format(name, string(text))
		must.Eq(t, string(text), formatted)
	}
}
