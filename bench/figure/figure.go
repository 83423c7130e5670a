// Package figure encodes benchmark results as figures, one JSON line each, with
// an optional bound that decides whether the result is acceptable.
//
// Usage:
//
//	figure.AtMost("route", "p99RatioToCentralQueue", ratio, "ratio", 1.25).Print(os.Stdout)
package figure

import (
	"encoding/json"
	"io"

	"github.com/snipebeam/snipebeam/bench/slope"
)

// Figure is one measured value, with its bound if it has one.
type Figure struct {
	Area  string   `json:"area"`
	Name  string   `json:"name"`
	Value float64  `json:"value"`
	Unit  string   `json:"unit"`
	Bound *float64 `json:"bound,omitempty"`
	OK    *bool    `json:"ok,omitempty"`
	Note  string   `json:"note,omitempty"`
	Fit   *Fit     `json:"fit,omitempty"`
}

// Fit is a linear regression over the measured points. The figure's value is its
// slope.
type Fit struct {
	Intercept  float64      `json:"intercept"`
	SlopeError float64      `json:"slopeError"`
	R2         float64      `json:"r2"`
	Points     [][2]float64 `json:"points"` // size and cost
}

// Plain returns a figure without a bound.
func Plain(area, name string, value float64, unit string) Figure {
	return Figure{Area: area, Name: name, Value: value, Unit: unit}
}

// AtMost returns a figure with an inclusive upper bound.
func AtMost(area, name string, value float64, unit string, bound float64) Figure {
	ok := value <= bound
	return Figure{Area: area, Name: name, Value: value, Unit: unit, Bound: &bound, OK: &ok}
}

// AtLeast returns a figure with an inclusive lower bound.
func AtLeast(area, name string, value float64, unit string, bound float64) Figure {
	ok := value >= bound
	return Figure{Area: area, Name: name, Value: value, Unit: unit, Bound: &bound, OK: &ok}
}

// Slope returns the slope of a fitted line as a figure with the fit and its points.
func Slope(area, name, unit string, line slope.Line, points []slope.Point) Figure {
	f := Plain(area, name, line.Slope, unit)
	f.Fit = &Fit{Intercept: line.Intercept, SlopeError: line.SlopeError, R2: line.R2}
	for _, p := range points {
		f.Fit.Points = append(f.Fit.Points, [2]float64{p.X, p.Y})
	}
	return f
}

// WithNote returns a copy of the figure with a note.
func (f Figure) WithNote(note string) Figure {
	f.Note = note
	return f
}

// Print writes the figure as one JSON line.
func (f Figure) Print(w io.Writer) error { return json.NewEncoder(w).Encode(f) }
