// Package knownred skips tests that fail because of a known, open fault. Such a
// test is listed in KNOWN-RED.txt at the root of the repository and is skipped
// with a log line while it is listed there. The command bench/knownred runs each
// listed test separately and reports those that pass again, so that a fault
// stays visible.
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
	// FileName is the name of the list at the root of the repository.
	FileName = "KNOWN-RED.txt"
	// EnvVar is the environment variable that makes listed tests run.
	EnvVar = "SNIPEBEAM_KNOWN_RED"

	prefix = "test:"
)

// Entry is a listed test.
type Entry struct {
	folder string // package folder, relative to the root
	test   string
}

// Folder returns the package's folder, relative to the root of the repository.
func (e Entry) Folder() string { return e.folder }

// Test returns the name of the test.
func (e Entry) Test() string { return e.test }

// Parse reads the entries of a list. Lines other than test lines are ignored.
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

// Load returns the root of the repository that a folder belongs to and the
// entries of its list. The root is the nearest parent folder with a list.
func Load(folder string) (string, []Entry, error) {
	for dir := folder; ; dir = filepath.Dir(dir) {
		text, err := os.ReadFile(filepath.Join(dir, FileName))
		if err == nil {
			all, err := Parse(string(text))
			return dir, all, err
		}
		if dir == filepath.Dir(dir) {
			return "", nil, errors.Errorf("no %s at or above %s", FileName, folder)
		}
	}
}

// Skip skips a listed test, unless the environment variable EnvVar is set.
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
	pkg, err := filepath.Rel(root, folder)
	if err != nil {
		t.Fatal(err)
	}
	if listed(all, filepath.ToSlash(pkg), t.Name()) && os.Getenv(EnvVar) == "" {
		t.Skipf("known red: %s %s, see %s", pkg, t.Name(), FileName)
	}
}

func listed(all []Entry, folder, test string) bool {
	for _, entry := range all {
		if entry.folder == folder && entry.test == test {
			return true
		}
	}
	return false
}
