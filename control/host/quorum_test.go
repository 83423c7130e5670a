package host

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/disk"
	"github.com/snipebeam/snipebeam/control/settings"
)

// Guards against a control host that ends at each start because of a damaged folder although the
// group replaces lost members by itself, and against one that gives up its data where it does not.
func TestDamagedFolderIsReplacedOnlyIfTheLeaderMaintainsTheMembership(t *testing.T) {
	for _, seeds := range [][]string{nil, {"10.0.0.1:7100"}} {
		cfg := settings.Default()
		cfg.Data.Folder, cfg.Quorum.Seeds = t.TempDir(), seeds
		r, err := newReplicaStore(cfg, hclog.NewNullLogger())
		must.NoError(t, err)
		identity := r.store.Identity().GetIdentity()
		must.NoError(t, r.store.Close())
		must.NoError(t, os.WriteFile(filepath.Join(cfg.Data.Folder, "identity"), []byte("damaged"), 0o600))
		r, err = newReplicaStore(cfg, hclog.NewNullLogger())
		if seeds == nil {
			must.True(t, disk.IsDamaged(err))
			continue
		}
		must.NoError(t, err)
		must.NotEq(t, identity, r.store.Identity().GetIdentity())
		must.NoError(t, r.store.Close())
	}
}
