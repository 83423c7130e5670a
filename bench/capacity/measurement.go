// Package capacity extrapolates the cost of each role at the target size, the
// load expected in two years, from the fitted slopes in docs/measurements.
//
// Usage:
//
//	m, err := capacity.Load("docs/measurements")
//	table, err := capacity.Table(m)
//	page, err = capacity.Replace(page, table)
package capacity

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/figure"
)

// Measurements holds the figures by name, and the names that were looked up and
// not found.
type Measurements struct {
	figures map[string]figure.Figure
	missing []string
}

// Load reads every .jsonl file of figures in a folder.
func Load(folder string) (*Measurements, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.jsonl"))
	if err != nil {
		return nil, errors.Wrap(err, "find measurements")
	}
	m := &Measurements{figures: map[string]figure.Figure{}}
	for _, path := range paths {
		if err := m.read(path); err != nil {
			return nil, errors.Wrap(err, path)
		}
	}
	return m, nil
}

func (m *Measurements) read(path string) error {
	in, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open measurements")
	}
	defer func() { _ = in.Close() }()
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		var f figure.Figure
		if err := json.Unmarshal(scanner.Bytes(), &f); err != nil {
			return errors.Wrap(err, "read figure")
		}
		m.figures[f.Name] = f
	}
	return errors.Wrap(scanner.Err(), "read measurements")
}

// value returns the value of a figure, or 0 and records the name as missing.
func (m *Measurements) value(name string) float64 {
	f, ok := m.figures[name]
	if !ok {
		m.missing = append(m.missing, name)
	}
	return f.Value
}

// fitAt evaluates the fitted line of a figure at a size.
func (m *Measurements) fitAt(name string, size float64) float64 {
	f, ok := m.figures[name]
	if !ok || f.Fit == nil {
		m.missing = append(m.missing, name)
		return 0
	}
	return f.Fit.Intercept + f.Value*size
}

// slopeTimes returns the slope of a figure times a size, without the intercept.
func (m *Measurements) slopeTimes(name string, size float64) float64 {
	f, ok := m.figures[name]
	if !ok || f.Fit == nil {
		m.missing = append(m.missing, name)
		return 0
	}
	return f.Value * size
}
