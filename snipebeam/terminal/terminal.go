// Package terminal writes tables for a person and JSON for scripts. Colour is
// used only on a terminal.
//
// Usage:
//
//	out := terminal.New(os.Stdout, terminal.JSON)
//	out.Show(value, terminal.NewTable("host", "state").Row("entry-1", out.State("ready")))
package terminal

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
	"github.com/mattn/go-isatty"
	"github.com/pkg/errors"
)

// Formats of the output.
const (
	Table = "table"
	JSON  = "json"
)

// clearScreen moves to the top left and clears what is below (ECMA-48).
const clearScreen = "\x1b[H\x1b[2J"

// Output is where a command's result goes.
type Output struct {
	w      io.Writer
	format string
	colour bool
}

// New returns an output; colour is used if the writer is a terminal and the
// environment does not set NO_COLOR.
func New(w io.Writer, format string) *Output {
	file, ok := w.(*os.File)
	tty := ok && isatty.IsTerminal(file.Fd())
	return &Output{w: w, format: format, colour: tty && os.Getenv("NO_COLOR") == ""}
}

// JSON reports whether the output is for a script.
func (o *Output) JSON() bool { return o.format == JSON }

// Line writes one line to a person; scripts do not get it.
func (o *Output) Line(format string, args ...any) {
	if !o.JSON() {
		fmt.Fprintf(o.w, format+"\n", args...)
	}
}

// Text writes text as it is to a person.
func (o *Output) Text(s string) {
	if !o.JSON() {
		fmt.Fprint(o.w, s)
	}
}

// Clear clears the screen before the next round of a watch, on a terminal.
func (o *Output) Clear() {
	if o.colour && !o.JSON() {
		fmt.Fprint(o.w, clearScreen)
	}
}

// Show writes the value as one line of JSON to a script, or the rows to a
// person.
func (o *Output) Show(value any, rows *Rows) error {
	if o.JSON() {
		return errors.Wrap(json.NewEncoder(o.w).Encode(value), "write JSON")
	}
	if rows != nil {
		rows.write(o.w)
	}
	return nil
}

// Good marks a text that needs no attention.
func (o *Output) Good(s string) string { return o.paint(text.FgGreen, s) }

// Bad marks a text that needs attention.
func (o *Output) Bad(s string) string { return o.paint(text.FgRed, s) }

// Warning marks a text that may need attention.
func (o *Output) Warning(s string) string { return o.paint(text.FgYellow, s) }

// State marks the state of a host or an instance.
func (o *Output) State(s string) string {
	switch s {
	case "ready":
		return o.Good(s)
	case "silent", "ejected", "suspect", "dead":
		return o.Bad(s)
	default:
		return o.Warning(s)
	}
}

func (o *Output) paint(colour text.Color, s string) string {
	if !o.colour {
		return s
	}
	return colour.Sprint(s)
}

// Rows is a table with aligned columns.
type Rows struct {
	writer table.Writer
	empty  string
	n      int
}

// NewTable returns a table with a head.
func NewTable(head ...any) *Rows {
	w := table.NewWriter()
	style := table.StyleDefault
	style.Options = table.OptionsNoBordersAndSeparators
	style.Box.PaddingLeft = ""
	style.Box.PaddingRight = "  "
	style.Format.Header = text.FormatUpper
	w.SetStyle(style)
	w.SuppressTrailingSpaces()
	w.AppendHeader(head)
	return &Rows{writer: w}
}

// Empty sets what is written in place of a table without rows.
func (r *Rows) Empty(line string) *Rows {
	r.empty = line
	return r
}

// Row adds a row.
func (r *Rows) Row(cells ...any) *Rows {
	r.writer.AppendRow(cells)
	r.n++
	return r
}

func (r *Rows) write(w io.Writer) {
	if r.n == 0 {
		if r.empty != "" {
			fmt.Fprintln(w, r.empty)
		}
		return
	}
	fmt.Fprintln(w, r.writer.Render())
}
