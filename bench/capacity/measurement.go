// Package capacity works out what each role spends at the size of two years
// from now, from slopes that were measured and committed.
//
// Usage:
//
//	m, err := capacity.Load("docs/measurements")
//	rows, err := capacity.Rows(m)
//	table := capacity.Table(rows)
package capacity

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/figure"
)

// Measurements are the committed figures by name.
type Measurements struct {
	figures map[string]figure.Figure
	missing []string
}

// Load reads every file of figures in a folder.
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

// value returns a plain figure.
func (m *Measurements) value(name string) float64 {
	f, ok := m.figures[name]
	if !ok {
		m.missing = append(m.missing, name)
	}
	return f.Value
}

// at returns the fitted line of a figure at a size.
func (m *Measurements) at(name string, size float64) float64 {
	f, ok := m.figures[name]
	if !ok || f.Fit == nil {
		m.missing = append(m.missing, name)
		return 0
	}
	return f.Fit.Intercept + f.Value*size
}

// each returns the slope of a figure alone, times a size.
func (m *Measurements) each(name string, size float64) float64 {
	f, ok := m.figures[name]
	if !ok || f.Fit == nil {
		m.missing = append(m.missing, name)
		return 0
	}
	return f.Value * size
}
