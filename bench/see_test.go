package main

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestDetectorRaisesNothingWhileLoadIsSteadyOrBursty(t *testing.T) {
	for n, w := range calmWorkloads() {
		w.span /= 24
		must.Eq(t, 0, falseAlarms(w, uint64(n+50)), must.Sprint(w.name))
	}
}

func TestDetectorFindsEveryGrowth(t *testing.T) {
	random := newRandom()
	for n := range 60 {
		g := generate(random)
		took, found := g.detect(uint64(n + 9000))
		must.True(t, found, must.Sprintf("growth %v was not found", g))
		if g.excess >= suddenExcess {
			must.LessEq(t, visibleBoundMs*time.Millisecond, took, must.Sprintf("growth %v", g))
		}
	}
}
