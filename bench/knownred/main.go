// Command knownred runs each test that KNOWN-RED.txt lists, and prints which still
// fail and which pass again and must be removed from the list.
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
		return errors.Wrap(err, "get working directory")
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

// verdict runs the top-level test of a listed subtest, because subtests may depend
// on earlier ones.
func verdict(root string, entry knownred.Entry) string {
	top, _, _ := strings.Cut(entry.Test(), "/")
	cmd := exec.Command("go", "test", "-count=1", "-v", "-run", "^"+top+"$", "./"+filepath.ToSlash(entry.Folder()))
	cmd.Dir = root
	cmd.Env = append(os.Environ(), knownred.EnvVar+"=1")
	// A failing test is the expected result, and the output tells it from other
	// failures.
	out, _ := cmd.CombinedOutput()
	switch {
	case strings.Contains(string(out), "--- FAIL: "+entry.Test()+" "):
		return "still red"
	case strings.Contains(string(out), "--- PASS: "+entry.Test()+" "):
		return "PASSED THIS TIME; take it off the list if it does so again"
	default:
		return "DID NOT RUN; correct the list or the build"
	}
}
