package program_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/program"
)

func TestReloaderReturnsOnlyChangedSettingsWithoutErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.toml")
	write := func(text string) { must.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write("a")
	load := func(path string) (*string, finding.List) {
		var findings finding.List
		data, err := os.ReadFile(path)
		must.NoError(t, err)
		text := string(data)
		if text == "broken" {
			findings.Add(finding.Error, finding.At(path, 1, 1), "half written", "")
		}
		return &text, findings
	}
	reload := program.Reloader(path, load, hclog.NewNullLogger())
	must.Nil(t, reload())
	write("broken")
	must.Nil(t, reload())
	write("another")
	must.Eq(t, "another", *reload())
	must.Nil(t, reload())
	must.NoError(t, os.Remove(path))
	must.Nil(t, reload())
}
