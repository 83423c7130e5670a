package capacity

import (
	"fmt"
	"math"
	"strings"

	"github.com/pkg/errors"
)

// Marks around what is generated in the page.
const (
	beginMark = "<!-- worked out by make docs: begin -->"
	endMark   = "<!-- worked out by make docs: end -->"
)

// Table renders the rows and the number of entry hosts as Markdown.
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

// cell renders a cost, marked if it is over the budget that binds it.
func cell(value, budget float64, data bool) string {
	if math.IsNaN(value) {
		return "–"
	}
	text := fmt.Sprintf("%.3g", value)
	if value >= 1000 {
		text = fmt.Sprintf("%.0f", value)
	}
	if !data && value > budget {
		return "🔴 **" + text + "**"
	}
	return text
}

// Replace puts the table between the marks of a page.
func Replace(page, table string) (string, error) {
	begin, end := strings.Index(page, beginMark), strings.Index(page, endMark)
	if begin < 0 || end < begin {
		return "", errors.New("the page has no marks for the table")
	}
	return page[:begin+len(beginMark)] + "\n" + table + page[end:], nil
}
