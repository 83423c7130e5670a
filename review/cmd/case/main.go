// Command case runs one case of the review. It exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/snipebeam/snipebeam/review/harness"
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

type caseFunc func(root string, record *harness.Record, trouble bool) (int, error)

var cases = map[string]caseFunc{}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME REPOSITORY RECORD")
		return failed
	}
	record, err := harness.NewRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer record.Close()
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-ends:
		case <-time.After(limit):
		}
		record.Line("ended before its time")
		harness.CloseAll()
		os.Exit(failed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Line("case %s, trouble %v", os.Args[1], trouble)
	code, err := cases[os.Args[1]](os.Args[2], record, trouble)
	if err != nil {
		record.Line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	record.Line("exit %d", code)
	return code
}
