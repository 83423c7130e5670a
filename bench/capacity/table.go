package capacity

import (
	"fmt"
	"math"
	"strings"

	"github.com/pkg/errors"
)

// Markers around the generated part of the page.
const (
	beginMarker = "<!-- worked out by make docs: begin -->"
	endMarker   = "<!-- worked out by make docs: end -->"
)

// Table renders the number of entry hosts and the rows as Markdown.
func Table(m *Measurements) (string, error) {
	rows, err := Rows(m)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "Entry hosts for %d calls a second with a zone lost: **%d**.\n\n", callsPerS, EntryHosts(m))
	b.WriteString("| role | mechanism | bytes/s | % of a core | memory MB | worked out from | what would carry it |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.Role, r.Mechanism,
			cell(r.BytesPerS, budgetBytesPerS, r.DataPlane), cell(r.CorePercent, budgetCorePercent, r.DataPlane), cell(r.MemoryMB, budgetMemoryMB, false), r.Sources, r.Note)
	}
	fmt.Fprintf(&b, "| each host | budget | %d | %.1f | %d | | |\n", budgetBytesPerS, budgetCorePercent, budgetMemoryMB)
	return b.String(), nil
}

// cell renders a cost and highlights it if it exceeds the budget. The budget
// does not apply to data-plane costs.
func cell(value, budget float64, dataPlane bool) string {
	if math.IsNaN(value) {
		return "–"
	}
	text := fmt.Sprintf("%.3g", value)
	if value >= 1000 {
		text = fmt.Sprintf("%.0f", value)
	}
	if !dataPlane && value > budget {
		return "🔴 **" + text + "**"
	}
	return text
}

// Replace returns the page with the table between the markers.
func Replace(page, table string) (string, error) {
	begin, end := strings.Index(page, beginMarker), strings.Index(page, endMarker)
	if begin < 0 || end < begin {
		return "", errors.New("page has no markers for the table")
	}
	return page[:begin+len(beginMarker)] + "\n" + table + page[end:], nil
}
