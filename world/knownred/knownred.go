// Package knownred lets a test that fails for a real fault land without hiding
// it: the test is listed in KNOWN-RED.txt at the root of the repository, is
// skipped with a log line while it is listed there, and is run on its own by
// bench/knownred, which reports one that passes again.
//
// An entry is a block of lines; the first names the package and the test:
//
//	test: entry/caller TestUploadSurvivesRestart
//	command: go test -run TestUploadSurvivesRestart ./entry/caller
//	seen: cut after 64 KiB in 3 of 20 runs
//	issue: graceful stop of entry hosts
//
// Usage:
//
//	func TestUploadSurvivesRestart(t *testing.T) {
//		knownred.Skip(t)
package knownred

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

const (
	// FileName is the list, at the root of the repository.
	FileName = "KNOWN-RED.txt"
	// EnvVar makes listed tests run.
	EnvVar = "SNIPEBEAM_KNOWN_RED"

	prefix = "test:"
)

// Entry is a listed test.
type Entry struct {
	folder string // of the package, below the root
	test   string
}

// Folder returns the package's folder below the root of the repository.
func (e Entry) Folder() string { return e.folder }

// Test returns the name of the test.
func (e Entry) Test() string { return e.test }

// Parse reads the list.
func Parse(text string) ([]Entry, error) {
	var all []Entry
	for line := range strings.Lines(text) {
		rest, found := strings.CutPrefix(strings.TrimSpace(line), prefix)
		if !found {
			continue
		}
		fields := strings.Fields(rest)
		if len(fields) != 2 {
			return nil, errors.Errorf("%s: want %s PACKAGE TEST, have %q", FileName, prefix, line)
		}
		all = append(all, Entry{folder: fields[0], test: fields[1]})
	}
	return all, nil
}

// Load reads the list of the repository that a folder belongs to, and returns
// the repository's root with it.
func Load(folder string) (string, []Entry, error) {
	for at := folder; ; at = filepath.Dir(at) {
		text, err := os.ReadFile(filepath.Join(at, FileName))
		if err == nil {
			all, err := Parse(string(text))
			return at, all, err
		}
		if at == filepath.Dir(at) {
			return "", nil, errors.Errorf("no %s at or above %s", FileName, folder)
		}
	}
}

// Skip skips a test that is listed, unless the variable asks for it.
func Skip(t testing.TB) {
	t.Helper()
	folder, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	root, all, err := Load(folder)
	if err != nil {
		t.Fatal(err)
	}
	own, err := filepath.Rel(root, folder)
	if err != nil {
		t.Fatal(err)
	}
	if listed(all, filepath.ToSlash(own), t.Name()) && os.Getenv(EnvVar) == "" {
		t.Skipf("known red: %s %s, see %s", own, t.Name(), FileName)
	}
}

func listed(all []Entry, folder, test string) bool {
	for _, one := range all {
		if one.folder == folder && one.test == test {
			return true
		}
	}
	return false
}
