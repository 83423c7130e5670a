// Command capacitypage regenerates the table of docs/CAPACITY.md from the figures
// in docs/measurements.
package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/capacity"
)

const (
	pagePath     = "docs/CAPACITY.md"
	measurements = "docs/measurements"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacitypage: "+err.Error())
		os.Exit(1)
	}
}

func run() error {
	m, err := capacity.Load(measurements)
	if err != nil {
		return err
	}
	table, err := capacity.Table(m)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(pagePath)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	next, err := capacity.Replace(string(page), table)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(pagePath, []byte(next), 0o644), "write page")
}
