// Package figure prints measured figures, one JSON line each.
//
// Usage:
//
//	figure.AtMost("route", "p99RatioToCentralQueue", ratio, "ratio", 1.25).Print(os.Stdout)
package figure

import (
	"encoding/json"
	"io"
)

// Figure is one measured value, with the bound it is held against if any.
type Figure struct {
	Area  string   `json:"area"`
	Name  string   `json:"name"`
	Value float64  `json:"value"`
	Unit  string   `json:"unit"`
	Bound *float64 `json:"bound,omitempty"`
	OK    *bool    `json:"ok,omitempty"`
	Note  string   `json:"note,omitempty"`
}

// Plain returns a figure without a bound.
func Plain(area, name string, value float64, unit string) Figure {
	return Figure{Area: area, Name: name, Value: value, Unit: unit}
}

// AtMost returns a figure that is good up to the bound.
func AtMost(area, name string, value float64, unit string, bound float64) Figure {
	ok := value <= bound
	return Figure{Area: area, Name: name, Value: value, Unit: unit, Bound: &bound, OK: &ok}
}

// AtLeast returns a figure that is good from the bound on.
func AtLeast(area, name string, value float64, unit string, bound float64) Figure {
	ok := value >= bound
	return Figure{Area: area, Name: name, Value: value, Unit: unit, Bound: &bound, OK: &ok}
}

// With returns the figure with a note.
func (f Figure) With(note string) Figure {
	f.Note = note
	return f
}

// Print writes the figure as one JSON line.
func (f Figure) Print(w io.Writer) error { return json.NewEncoder(w).Encode(f) }
