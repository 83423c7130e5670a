package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/setting"
)

const minimal = "[host]\nname = 'e'\n[control]\nhosts = ['127.0.0.1:7100']\n"

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "f.toml")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func found(t *testing.T, text string, overrides ...setting.Override) string {
	_, findings := settings.Load(write(t, text), overrides...)
	var all []string
	for _, f := range findings.All() {
		all = append(all, f.String())
	}
	return strings.Join(all, "\n")
}

func TestAllProblemsAreReportedWithTheirPlace(t *testing.T) {
	seen := found(t, "[host]\nnmae = 'e'\n[listen]\npeers = '10.0.0.1:7202'\ncallers = 'here'\n[log]\nlevel = 'loud'\n[route]\npolicy = 'leest'\n[limits]\nbodyBytes = 0\n")
	for _, want := range []string{
		":2:1: error: there is no key host.nmae (did you mean host.name?)", "host.name is empty", "control.hosts is empty",
		":4:1: error: listen.peers is beyond loopback", ":5:1: error: listen.callers is not an address",
		":7:1: error: log.level is", ":9:1: error: route.policy is", ":11:1: error: limits.bodyBytes is 0",
	} {
		must.StrContains(t, seen, want)
	}
}

func TestMissingKeysLeaveNoListenerUnprotected(t *testing.T) {
	must.Eq(t, "", found(t, minimal))
	file := write(t, "secret\n")
	keyed := minimal + "[keys]\npeers = '" + file + "'\n"
	must.StrContains(t, found(t, keyed), "keys.operators is empty though other keys are set")
	all := keyed + "operators = '" + file + "'\nupstreams = '" + file + "'\n[listen]\npeers = '10.0.0.1:7202'\nplatform = '10.0.0.1:7201'\n"
	must.Eq(t, "", found(t, all))
	must.StrContains(t, found(t, minimal+"[keys]\npeers = '/nowhere'\n"), "keys.peers cannot be used")
	must.StrContains(t, found(t, strings.Replace(all, file, write(t, "a b c"), 1)), "holds 3 keys")
	must.Eq(t, "", found(t, minimal+"[listen]\npeers = '10.0.0.1:7202'\nallowUnkeyed = true\n"))
}

func TestOverridesAreNamedInFindings(t *testing.T) {
	must.StrContains(t, found(t, minimal, setting.NewOverride("listen.callers", ":7200", "--callers")), "others, who cannot call :7200")
	must.StrContains(t, found(t, minimal, setting.NewOverride("log.level", "loud", "--log-level")), "--log-level: error: log.level")
}
