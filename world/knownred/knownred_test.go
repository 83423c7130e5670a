package knownred

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

const list = `# Failing checks

test: a/b TestOne/sub
command: go test ./a/b
test: c TestTwo
`

func TestParse(t *testing.T) {
	all, err := Parse(list)
	must.NoError(t, err)
	must.Len(t, 2, all)
	must.Eq(t, "a/b", all[0].Folder())
	must.Eq(t, "TestOne/sub", all[0].Test())
	_, err = Parse("test: TestOne")
	must.ErrorContains(t, err, "PACKAGE TEST")
}

func TestListMatchesExactNamesOnly(t *testing.T) {
	all, err := Parse(list)
	must.NoError(t, err)
	must.True(t, listed(all, "c", "TestTwo"))
	must.False(t, listed(all, "c", "TestTwo/sub"))
	must.False(t, listed(all, "c", "TestTw"))
	must.False(t, listed(all, "a", "TestTwo"))
}

func TestListedTestIsSkippedUnlessVariableIsSet(t *testing.T) {
	root := t.TempDir()
	folder := filepath.Join(root, "c")
	must.NoError(t, os.Mkdir(folder, 0o700))
	must.NoError(t, os.WriteFile(filepath.Join(root, FileName), []byte("test: c "+t.Name()+"/listed\n"), 0o600))
	t.Chdir(folder)
	for _, c := range []struct {
		name, variable string
		skipped        bool
	}{{"listed", "", true}, {"other", "", false}, {"listed", "1", false}} {
		t.Setenv(EnvVar, c.variable)
		recorder := &skipRecorder{TB: t, name: t.Name() + "/" + c.name}
		Skip(recorder)
		must.Eq(t, c.skipped, recorder.skipped)
	}
}

// skipRecorder records a skip instead of skipping the running test.
type skipRecorder struct {
	testing.TB
	name    string
	skipped bool
}

func (r *skipRecorder) Name() string         { return r.name }
func (r *skipRecorder) Skipf(string, ...any) { r.skipped = true }
func (r *skipRecorder) Helper()              {}
