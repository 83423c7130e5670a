package slope_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/bench/slope"
)

func TestFitOfALineHasNoError(t *testing.T) {
	line, err := slope.Fit([]slope.Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 10, Y: 23}})
	must.NoError(t, err)
	must.InDelta(t, 3, line.Intercept, 1e-9)
	must.InDelta(t, 2, line.Slope, 1e-9)
	must.InDelta(t, 0, line.SlopeError, 1e-9)
}

func TestFitReturnsTheErrorOfTheSlope(t *testing.T) {
	line, err := slope.Fit([]slope.Point{{X: 0, Y: 0}, {X: 1, Y: 1}, {X: 2, Y: 0}, {X: 3, Y: 1}})
	must.NoError(t, err)
	must.InDelta(t, 0.2, line.Slope, 1e-9)
	must.InDelta(t, 0.2828, line.SlopeError, 1e-3) // sqrt(0.8/2/5)
	_, err = slope.Fit([]slope.Point{{X: 0, Y: 0}, {X: 1, Y: 1}})
	must.Error(t, err)
}
