package delta_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/delta"
	"github.com/snipebeam/snipebeam/world/testseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

func TestAnyDifferenceGivesTheNewerText(t *testing.T) {
	text := rapid.Custom(func(t *rapid.T) string {
		return strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"a\n", "b\n", "c\n", "\n", "d", "é\n"})).Draw(t, "lines"), "")
	})
	rapid.Check(t, func(t *rapid.T) {
		older, newer := text.Draw(t, "older"), text.Draw(t, "newer")
		data, err := delta.Diff(older, newer)
		must.NoError(t, err)
		got, err := delta.Apply(older, data)
		must.NoError(t, err)
		must.Eq(t, newer, got)
		if older != newer {
			_, err = delta.Apply(newer, data)
			must.Error(t, err)
		}
	})
}

func TestOneChangedLineIsASmallDifference(t *testing.T) {
	var rules []string
	for n := range 2000 {
		rules = append(rules, fmt.Sprintf("route s%d GET /lookup/**: deadline 300ms # Marie: a piercer waits\n", n))
	}
	older := strings.Join(rules, "")
	rules[700] = "route s700: deadline 1s # Luc: new\n"
	newer := strings.Join(append(rules[:900], rules[901:]...), "")
	data, err := delta.Diff(older, newer)
	must.NoError(t, err)
	must.Less(t, 200, len(data))
}

func FuzzApply(f *testing.F) {
	data, _ := delta.Diff("a\nb\n", "a\nc\n")
	f.Add("a\nb\n", data)
	f.Fuzz(func(_ *testing.T, older string, data []byte) { _, _ = delta.Apply(older, data) })
}
