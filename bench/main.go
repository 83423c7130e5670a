// Command bench measures snipebeam and prints each figure as a line of JSON.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/snipebeam/snipebeam/bench/figure"
)

// area measures one part of the system.
type area func(emit func(figure.Figure)) error

// part is one measurement of an area; it has a name if it can be run alone.
type part struct {
	name    string
	measure area
}

// areas are the parts of each area; each file of this package adds its own with
// register or registerPart.
var areas = map[string][]part{}

func register(name string, measure area) { registerPart(name, "", measure) }

// registerPart adds a measurement that --only=AREA/PART runs alone.
func registerPart(name, partName string, measure area) {
	areas[name] = append(areas[name], part{name: partName, measure: measure})
}

type flags struct {
	Only string `help:"Area, or AREA/PART, to measure; all by default."`
}

func main() {
	var cli flags
	kong.Parse(&cli, kong.Name("bench"))
	only, partName, _ := strings.Cut(cli.Only, "/")
	names := make([]string, 0, len(areas))
	for name := range areas {
		if only == "" || only == name {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		measureArea(name, partName)
	}
}

// measureArea runs all parts of an area, or the named one.
func measureArea(name, only string) {
	for _, p := range areas[name] {
		if only != "" && only != p.name {
			continue
		}
		if err := p.measure(printFigure); err != nil {
			fmt.Fprintf(os.Stderr, "bench: %s: %v\n", name, err)
			os.Exit(1)
		}
	}
}

func printFigure(f figure.Figure) {
	if err := f.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "bench: "+err.Error())
		os.Exit(1)
	}
}
