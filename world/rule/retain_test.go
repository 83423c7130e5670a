package rule_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"unsafe"
	"weak"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/rule"
)

// readLong reads a file whose comments are much longer than its lines, and returns
// a weak pointer to its text.
func readLong(t *testing.T, previous *rule.Set, lines ...string) (*rule.Set, weak.Pointer[byte]) {
	t.Helper()
	text := strings.Join(lines, "\n") + strings.Repeat("\n# a long comment", 10_000)
	set, findings := rule.ReadIncremental(previous, "rules", text)
	must.Zero(t, findings.Len(), must.Sprint(findings))
	return set, weak.Make(unsafe.StringData(text))
}

func TestSetDoesNotRetainTheTextOfItsFile(t *testing.T) {
	var lines []string
	for n := range 4 {
		lines = append(lines, fmt.Sprintf("route shop at h%d.example /: deadline 1s # Marie: why", n))
	}
	for name, lines := range map[string][]string{
		"service": {`service pay: owner "Comptoir" # Marie: why`}, "first of its kind": lines[:1], "copied from a template": lines,
	} {
		t.Run(name, func(t *testing.T) {
			set, text := readLong(t, nil, lines...)
			runtime.GC()
			must.Nil(t, text.Value(), must.Sprint("first version"))
			next, text := readLong(t, set, lines...)
			runtime.GC()
			must.Nil(t, text.Value(), must.Sprint("unchanged lines in the next version"))
			must.Eq(t, set.Services(), next.Services())
			runtime.KeepAlive(set)
			runtime.KeepAlive(next)
		})
	}
}
