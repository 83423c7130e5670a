// Package difference compares two texts line by line.
//
// Usage:
//
//	fmt.Print(difference.Unified("version 3", old, "rules", new))
package difference

import (
	"fmt"
	"strings"
)

// contextLines is how many equal lines are shown around a change.
const contextLines = 2

// maxCells bounds the table of common lines; larger parts are shown as
// removed and added whole.
const maxCells = 16 << 20

type change byte

const (
	equal   change = ' '
	removed change = '-'
	added   change = '+'
)

type step struct {
	change change
	line   string
}

// Unified returns the changes from one text to another in the unified format,
// empty if there are none.
func Unified(oldName, oldText, newName, newText string) string {
	steps := compare(split(oldText), split(newText))
	hunks := group(steps)
	if len(hunks) == 0 {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "--- %s\n+++ %s\n", oldName, newName)
	for _, h := range hunks {
		h.write(&b, steps)
	}
	return b.String()
}

func split(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// compare returns the steps from one list of lines to another.
func compare(a, b []string) []step {
	head := 0
	for head < len(a) && head < len(b) && a[head] == b[head] {
		head++
	}
	tail := 0
	for tail < len(a)-head && tail < len(b)-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	steps := mark(nil, equal, a[:head])
	steps = append(steps, middle(a[head:len(a)-tail], b[head:len(b)-tail])...)
	return mark(steps, equal, a[len(a)-tail:])
}

func mark(steps []step, c change, lines []string) []step {
	for _, line := range lines {
		steps = append(steps, step{change: c, line: line})
	}
	return steps
}

// middle keeps a longest common subsequence of the lines.
func middle(a, b []string) []step {
	if len(a)*len(b) > maxCells {
		return mark(mark(nil, removed, a), added, b)
	}
	lengths := commonLengths(a, b)
	var steps []step
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			steps = append(steps, step{equal, a[i]})
			i, j = i+1, j+1
		case lengths[i+1][j] >= lengths[i][j+1]:
			steps = append(steps, step{removed, a[i]})
			i++
		default:
			steps = append(steps, step{added, b[j]})
			j++
		}
	}
	return mark(mark(steps, removed, a[i:]), added, b[j:])
}

// commonLengths returns, for each pair of suffixes, the length of their
// longest common subsequence.
func commonLengths(a, b []string) [][]int32 {
	lengths := make([][]int32, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}

// hunk is a run of steps that are shown together.
type hunk struct{ from, to int }

func group(steps []step) []hunk {
	var hunks []hunk
	for n, s := range steps {
		if s.change == equal {
			continue
		}
		from, to := max(n-contextLines, 0), min(n+contextLines+1, len(steps))
		if last := len(hunks) - 1; last >= 0 && from <= hunks[last].to {
			hunks[last].to = to
			continue
		}
		hunks = append(hunks, hunk{from, to})
	}
	return hunks
}

func (h hunk) write(b *strings.Builder, steps []step) {
	oldFrom, newFrom := count(steps[:h.from])
	oldLines, newLines := count(steps[h.from:h.to])
	fmt.Fprintf(b, "@@ -%d,%d +%d,%d @@\n", oldFrom+1, oldLines, newFrom+1, newLines)
	for _, s := range steps[h.from:h.to] {
		b.WriteString(string(s.change) + s.line + "\n")
	}
}

// count returns how many lines of the old and the new text the steps take.
func count(steps []step) (oldLines, newLines int) {
	for _, s := range steps {
		if s.change != added {
			oldLines++
		}
		if s.change != removed {
			newLines++
		}
	}
	return oldLines, newLines
}
