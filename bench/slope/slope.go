// Package slope fits a line through measured points by least squares and returns
// the standard error of its slope, to extrapolate a cost to a size that was not
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

// minPoints is the number of points that a fit with a standard error needs.
const minPoints = 3

// Point is one measurement: a size and its cost.
type Point struct {
	X float64
	Y float64
}

// Line is a fitted line.
type Line struct {
	Intercept  float64
	Slope      float64
	SlopeError float64 // standard error of the slope
	R2         float64 // coefficient of determination
}

// Fit returns the least-squares line through at least three points.
func Fit(points []Point) (Line, error) {
	if len(points) < minPoints {
		return Line{}, errors.Errorf("fit needs at least %d points, got %d", minPoints, len(points))
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

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }
