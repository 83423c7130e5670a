package setting_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/setting"
)

type hostSection struct {
	Name  string   `toml:"name" comment:"unique name"`
	Count int      `toml:"count" comment:"how many"`
	Share float64  `toml:"share"`
	Peers []string `toml:"peers"`
	On    bool     `toml:"on"`
}

type settings struct {
	Host hostSection `toml:"host"`
}

func places(findings finding.List) []string {
	var all []string
	for _, f := range findings.All() {
		all = append(all, f.Place().String())
	}
	return all
}

func TestEveryProblemIsReported(t *testing.T) {
	text := "[host]\nnmae = 'a'\ncount = 'many'\nshare = = 1\non = 3\npeers = ['a']\n[elsewhere]\nx = 1\n"
	cfg := settings{Host: hostSection{Name: "default"}}
	_, findings := setting.Parse("f", []byte(text), &cfg)
	must.Eq(t, []string{"f:2:1", "f:3:1", "f:4:9", "f:5:1", "f:7:2"}, places(findings))
	must.StrContains(t, findings.All()[0].Hint(), "host.name")
	must.Eq(t, "default", cfg.Host.Name)
	must.Eq(t, []string{"a"}, cfg.Host.Peers)
}

func TestOverridesTakePrecedenceOverFile(t *testing.T) {
	cfg := settings{}
	variables := map[string]string{"P_HOST_NAME": "b", "P_HOST_PEERS": "x, y", "P_HOST_COUNT": "many"}
	overrides := setting.FromEnvironment("P", &cfg, func(name string) (string, bool) {
		value, ok := variables[name]
		return value, ok
	})
	name := "c"
	flags := struct {
		Name *string `name:"host-name" key:"host.name"`
		On   *string `name:"on" key:"host.on"`
	}{Name: &name}
	overrides = append(overrides, setting.FromFlags(flags)...)
	doc, findings := setting.Parse("f", []byte("[host]\nname = 'a'\ncount = 2\n"), &cfg, overrides...)
	must.Eq(t, []string{"P_HOST_COUNT"}, places(findings))
	must.Eq(t, "c", cfg.Host.Name)
	must.Eq(t, 2, cfg.Host.Count)
	must.Eq(t, []string{"x", "y"}, cfg.Host.Peers)
	must.Eq(t, "--host-name", doc.Place("host.name").String())
}

func TestPrintedSettingsAreCommentedAndParseBack(t *testing.T) {
	cfg := settings{Host: hostSection{Name: "a", Count: 3, Share: 0.5, Peers: []string{"x"}, On: true}}
	var out strings.Builder
	must.NoError(t, setting.Print(&out, &cfg))
	must.StrContains(t, out.String(), "# unique name")
	var again settings
	_, findings := setting.Parse("f", []byte(out.String()), &again)
	must.NoError(t, findings.Err())
	must.Eq(t, cfg, again)
}

func TestUnreadableFiles(t *testing.T) {
	_, findings := setting.Load(t.TempDir(), &settings{})
	must.True(t, findings.HasErrors())
	_, findings = setting.Parse("f", []byte("\x00\xff[[["), &settings{})
	must.True(t, findings.HasErrors())
}

func TestEnvVarIsNamedAfterKey(t *testing.T) {
	must.Eq(t, "P_HOST_STOP_LIMIT_SECONDS", setting.EnvVar("P", "host.stopLimitSeconds"))
}
