// Command second plays the cases of the second review against the project's own programs.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// outcomes of a case, as exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// scenario plays a case, with or without its disruption.
type scenario func(f *fleet, trouble bool) int

var scenarios = map[string]scenario{}

func main() {
	root := flag.String("root", ".", "folder of the repository")
	out := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play := scenarios[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "there is no case", flag.Arg(0))
		os.Exit(couldNot)
	}
	path, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	records := newRecord()
	f, err := newFleet(path, records)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	time.AfterFunc(115*time.Second, func() {
		records.say("the case took too long")
		_ = records.save(*out)
		f.close()
		os.Exit(couldNot)
	})
	code := play(f, os.Getenv("TROUBLE") != "0")
	f.close()
	records.say("exit code %d", code)
	if err := records.save(*out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = couldNot
	}
	os.Exit(code)
}
