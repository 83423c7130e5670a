// Command knownred runs each test that KNOWN-RED.txt lists, and says which are
// still red and which pass again and must leave the list.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/knownred"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "knownred: "+err.Error())
		os.Exit(1)
	}
}

func run() error {
	folder, err := os.Getwd()
	if err != nil {
		return errors.Wrap(err, "find the repository")
	}
	root, all, err := knownred.Load(folder)
	if err != nil {
		return err
	}
	if len(all) == 0 {
		fmt.Println("no known red tests")
		return nil
	}
	for _, entry := range all {
		fmt.Printf("known red: %s %s: %s\n", entry.Folder(), entry.Test(), verdict(root, entry))
	}
	return nil
}

func verdict(root string, entry knownred.Entry) string {
	cmd := exec.Command("go", "test", "-count=1", "-run", exact(entry.Test()), "./"+filepath.ToSlash(entry.Folder()))
	cmd.Dir = root
	cmd.Env = append(os.Environ(), knownred.Variable+"=1")
	out, err := cmd.CombinedOutput()
	switch {
	case err != nil:
		return "still red"
	case strings.Contains(string(out), "no tests to run"):
		return "THERE IS NO SUCH TEST; correct the list"
	default:
		return "PASSED THIS TIME; take it off the list if it does so again"
	}
}

// exact returns the pattern of one test and no other.
func exact(test string) string {
	parts := strings.Split(test, "/")
	for n, part := range parts {
		parts[n] = "^" + part + "$"
	}
	return strings.Join(parts, "/")
}
