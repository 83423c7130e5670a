package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/settings"
)

func TestUnusableSettingsAreReported(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "control.toml")
	text := "[host]\nname = 'c'\n[data]\nfolder = '" + file + "'\n[listen]\npeers = '0.0.0.0:7100'\n[keys]\npeers = '" + dir + "'\n"
	must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	_, findings := settings.Load(file)
	var seen string
	for _, f := range findings.All() {
		seen += f.String() + "\n"
	}
	for _, want := range []string{":4:1: error: data.folder cannot be read", ":6:1: error: listen.peers is beyond loopback", ":8:1: error: keys.peers cannot be used", "keys.operators is empty"} {
		must.StrContains(t, seen, want)
	}
}
