// Package finding collects the problems found in an input, each with its
// position, so that all of them are reported together.
//
// Usage:
//
//	var list finding.List
//	list.Add(finding.Error, finding.At("rules", 3, 7), "deadline has no unit", "write 300ms")
//	return list.Err()
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Severity says whether a finding makes the input unusable.
type Severity int

// Severities of a finding.
const (
	Error Severity = iota
	Warning
)

// String returns "error" or "warning".
func (s Severity) String() string {
	if s == Warning {
		return "warning"
	}
	return "error"
}

// Place is a position in an input. Line and column start at one; both are zero
// for an input without lines, such as a flag.
type Place struct {
	file   string
	line   int
	column int
}

// At returns the place at a line and column of a file.
func At(file string, line, column int) Place {
	return Place{file: file, line: line, column: column}
}

// File returns the name of the input.
func (p Place) File() string { return p.file }

// Line returns the line, counted from one.
func (p Place) Line() int { return p.line }

// Column returns the column in characters, counted from one.
func (p Place) Column() int { return p.column }

// String returns the place as file:line:column, or the file alone for an input
// without lines.
func (p Place) String() string {
	if p.line == 0 {
		return p.file
	}
	return fmt.Sprintf("%s:%d:%d", p.file, p.line, p.column)
}

// Finding is one problem at one place.
type Finding struct {
	severity Severity
	place    Place
	text     string
	hint     string
}

// Severity returns how serious the finding is.
func (f Finding) Severity() Severity { return f.severity }

// Place returns where the problem is.
func (f Finding) Place() Place { return f.place }

// Text returns what is wrong.
func (f Finding) Text() string { return f.text }

// Hint returns how to fix the problem, possibly empty.
func (f Finding) Hint() string { return f.hint }

// String returns the finding on one line.
func (f Finding) String() string {
	line := fmt.Sprintf("%s: %s: %s", f.place, f.severity, f.text)
	if f.hint == "" {
		return line
	}
	return line + " (" + f.hint + ")"
}

// List is a collection of findings. The zero value is empty and ready to use.
type List struct {
	findings []Finding
}

// Add appends one finding.
func (l *List) Add(severity Severity, place Place, text, hint string) {
	l.findings = append(l.findings, Finding{severity: severity, place: place, text: text, hint: hint})
}

// Merge appends the findings of another list.
func (l *List) Merge(other List) {
	l.findings = append(l.findings, other.findings...)
}

// Len returns the number of findings.
func (l *List) Len() int { return len(l.findings) }

// All returns the findings sorted by place.
func (l *List) All() []Finding {
	sorted := append([]Finding(nil), l.findings...)
	sort.SliceStable(sorted, func(i, j int) bool { return before(sorted[i].place, sorted[j].place) })
	return sorted
}

// HasErrors reports whether any finding is an error.
func (l *List) HasErrors() bool {
	for _, f := range l.findings {
		if f.severity == Error {
			return true
		}
	}
	return false
}

// Err returns the findings as one error, or nil if none is an error.
func (l *List) Err() error {
	if !l.HasErrors() {
		return nil
	}
	return &Failure{list: *l}
}

// Failure is an error that carries a list of findings.
type Failure struct {
	list  List
	brief bool
}

// Findings returns the findings sorted by place.
func (f *Failure) Findings() []Finding { return f.list.All() }

// Error returns all findings, one per line, or only their number if the failure
// comes from Summary.
func (f *Failure) Error() string {
	if f.brief {
		return fmt.Sprintf("%d findings", len(f.list.findings))
	}
	lines := make([]string, 0, len(f.list.findings))
	for _, found := range f.list.All() {
		lines = append(lines, found.String())
	}
	return strings.Join(lines, "\n")
}

func before(a, b Place) bool {
	if a.file != b.file {
		return a.file < b.file
	}
	if a.line != b.line {
		return a.line < b.line
	}
	return a.column < b.column
}

// Summary returns an error that carries the findings but whose text is only
// their number, for programs that have already printed them, or nil if none is
// an error.
func (l *List) Summary() error {
	if !l.HasErrors() {
		return nil
	}
	return &Failure{list: *l, brief: true}
}
