// Package slope fits a straight line through measured points and gives the
// error of its slope, so that a cost can be worked out at a size that was not
// measured.
//
// Usage:
//
//	line, err := slope.Fit([]slope.Point{{X: 10, Y: 1.1}, {X: 100, Y: 9.8}, {X: 1000, Y: 101}})
//	atSize := line.At(3900)
package slope

import (
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// fewest is how many points a fit with an error needs.
const fewest = 3

// Point is one measurement.
type Point struct {
	X float64
	Y float64
}

// Line is a fitted line.
type Line struct {
	Intercept  float64
	Slope      float64
	SlopeError float64 // standard error of the slope
	R2         float64 // share of the variance that the line explains
}

// Fit returns the least squares line through three points or more.
func Fit(points []Point) (Line, error) {
	if len(points) < fewest {
		return Line{}, errors.Errorf("a fit needs %d points, there are %d", fewest, len(points))
	}
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for n, p := range points {
		xs[n], ys[n] = p.X, p.Y
	}
	alpha, beta := stat.LinearRegression(xs, ys, nil, false)
	line := Line{Intercept: alpha, Slope: beta, R2: stat.RSquared(xs, ys, nil, alpha, beta)}
	line.SlopeError = line.standardError(xs, ys)
	return line, nil
}

func (l Line) standardError(xs, ys []float64) float64 {
	mean := stat.Mean(xs, nil)
	residual, spread := 0.0, 0.0
	for n := range xs {
		d := ys[n] - l.At(xs[n])
		residual += d * d
		spread += (xs[n] - mean) * (xs[n] - mean)
	}
	return math.Sqrt(residual / float64(len(xs)-2) / spread)
}

// At returns the line's value.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }
