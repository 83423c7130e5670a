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

// maxLCSCells bounds the LCS table. Larger inputs are shown as removed and
// added entirely.
const maxLCSCells = 16 << 20

type operation byte

const (
	equal   operation = ' '
	removed operation = '-'
	added   operation = '+'
)

type edit struct {
	op   operation
	line string
}

// Unified returns the difference between two texts in the unified format, or an
// empty string if they are equal.
func Unified(oldName, oldText, newName, newText string) string {
	edits := editScript(splitLines(oldText), splitLines(newText))
	hunks := groupHunks(edits)
	if len(hunks) == 0 {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "--- %s\n+++ %s\n", oldName, newName)
	for _, h := range hunks {
		h.write(&b, edits)
	}
	return b.String()
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// editScript returns the edits that turn one list of lines into another. The
// common prefix and suffix are stripped before the LCS is computed.
func editScript(a, b []string) []edit {
	head := 0
	for head < len(a) && head < len(b) && a[head] == b[head] {
		head++
	}
	tail := 0
	for tail < len(a)-head && tail < len(b)-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	edits := appendEdits(nil, equal, a[:head])
	edits = append(edits, diffLCS(a[head:len(a)-tail], b[head:len(b)-tail])...)
	return appendEdits(edits, equal, a[len(a)-tail:])
}

func appendEdits(edits []edit, op operation, lines []string) []edit {
	for _, line := range lines {
		edits = append(edits, edit{op: op, line: line})
	}
	return edits
}

// diffLCS returns an edit script that keeps a longest common subsequence of the
// lines.
func diffLCS(a, b []string) []edit {
	if len(a)*len(b) > maxLCSCells {
		return appendEdits(appendEdits(nil, removed, a), added, b)
	}
	lengths := lcsLengths(a, b)
	var edits []edit
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			edits = append(edits, edit{equal, a[i]})
			i, j = i+1, j+1
		case lengths[i+1][j] >= lengths[i][j+1]:
			edits = append(edits, edit{removed, a[i]})
			i++
		default:
			edits = append(edits, edit{added, b[j]})
			j++
		}
	}
	return appendEdits(appendEdits(edits, removed, a[i:]), added, b[j:])
}

// lcsLengths returns, for each pair of suffixes, the length of their
// longest common subsequence.
func lcsLengths(a, b []string) [][]int32 {
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

// hunk is a range of edits that are shown together.
type hunk struct{ from, to int }

func groupHunks(edits []edit) []hunk {
	var hunks []hunk
	for n, e := range edits {
		if e.op == equal {
			continue
		}
		from, to := max(n-contextLines, 0), min(n+contextLines+1, len(edits))
		if last := len(hunks) - 1; last >= 0 && from <= hunks[last].to {
			hunks[last].to = to
			continue
		}
		hunks = append(hunks, hunk{from, to})
	}
	return hunks
}

func (h hunk) write(b *strings.Builder, edits []edit) {
	oldFrom, newFrom := countLines(edits[:h.from])
	oldLines, newLines := countLines(edits[h.from:h.to])
	fmt.Fprintf(b, "@@ -%d,%d +%d,%d @@\n", oldFrom+1, oldLines, newFrom+1, newLines)
	for _, e := range edits[h.from:h.to] {
		b.WriteString(string(e.op) + e.line + "\n")
	}
}

// countLines returns how many lines of the old and the new text the edits
// cover.
func countLines(edits []edit) (oldLines, newLines int) {
	for _, e := range edits {
		if e.op != added {
			oldLines++
		}
		if e.op != removed {
			newLines++
		}
	}
	return oldLines, newLines
}
