// Package testseed runs property tests with the same seed each time, so that
// their results are reproducible. A seed given on the command line takes
// precedence.
//
// Usage:
//
//	func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }
package testseed

import (
	"flag"
	"testing"
)

// seed is the seed of rapid unless -rapid.seed is given.
const seed = "20261204"

// Run sets rapid's seed, turns off its fail files and runs the tests of a
// package that uses rapid.
func Run(m *testing.M) int {
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true")
	return m.Run()
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("testseed: the package does not use rapid: " + err.Error())
	}
}
