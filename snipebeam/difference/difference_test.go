package difference

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/testseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

func TestEditScriptRebuildsBothTexts(t *testing.T) {
	lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", ""}), 0, 12)
	rapid.Check(t, func(t *rapid.T) {
		a, b := lines.Draw(t, "a"), lines.Draw(t, "b")
		var oldLines, newLines []string
		for _, s := range editScript(a, b) {
			if s.op != added {
				oldLines = append(oldLines, s.line)
			}
			if s.op != removed {
				newLines = append(newLines, s.line)
			}
		}
		must.Eq(t, strings.Join(a, "\n"), strings.Join(oldLines, "\n"))
		must.Eq(t, strings.Join(b, "\n"), strings.Join(newLines, "\n"))
	})
}

func TestUnified(t *testing.T) {
	must.Eq(t, "", Unified("a", "x\n", "b", "x\n"))
	must.Eq(t, "--- a\n+++ b\n@@ -2,5 +2,5 @@\n 2\n 3\n-4\n+four\n 5\n 6\n", Unified("a", "1\n2\n3\n4\n5\n6\n7\n", "b", "1\n2\n3\nfour\n5\n6\n7\n"))
}
