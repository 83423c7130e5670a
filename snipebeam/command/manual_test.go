package command_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/snipebeam/command"
)

// Guards against commands and flags that the operators' pages do not document.
func TestEveryCommandHasAManual(t *testing.T) {
	pages, err := filepath.Glob("../../docs/operators/*.md")
	must.NoError(t, err)
	var manual strings.Builder
	for _, page := range pages {
		text, err := os.ReadFile(page)
		must.NoError(t, err)
		manual.Write(text)
	}
	var root command.Root
	parser, err := kong.New(&root, kong.Name("snipebeam"))
	must.NoError(t, err)
	for _, leaf := range parser.Model.Leaves(true) {
		path := leaf.FullPath()
		must.True(t, strings.Contains(manual.String(), "# "+path+"\n"), must.Sprintf("no page has the heading %q", path))
		for _, flag := range leaf.Flags {
			must.True(t, strings.Contains(manual.String(), "--"+flag.Name), must.Sprintf("no page has --%s of %s", flag.Name, path))
		}
	}
}
