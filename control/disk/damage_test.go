package disk_test

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/disk"
	"github.com/snipebeam/snipebeam/control/disk/memory"
	"github.com/snipebeam/snipebeam/world/wire"
)

// damage corrupts the snapshot of a folder.
func damage(t must.T, folder *memory.Folder) {
	t.Helper()
	folder.Corrupt("snapshot-0000000000000007", 25)
	_, _, err := disk.Open(folder)
	must.True(t, disk.IsDamaged(err))
	must.ErrorContains(t, err, "snapshot-0000000000000007")
}

// Guards against a damaged replica that is used again or lost for the operator when its files are
// set aside, also if that is interrupted by a kill or a loss of power at any step.
func TestDamagedReplicaIsSetAsideWhole(t *testing.T) {
	for cut := range 30 {
		for _, losePower := range []bool{false, true} {
			random := rand.New(rand.NewPCG(1, uint64(cut)))
			folder := memory.New()
			s := newStore(t, folder)
			must.NoError(t, s.SaveSnapshot(&wire.LogSnapshot{Index: 7, State: []byte("state")}))
			must.NoError(t, s.Close())
			damage(t, folder)
			identity, err := folder.Content("identity")
			must.NoError(t, err)
			folder.StopAfter(cut)
			if err := disk.SetAside(folder); err != nil {
				must.True(t, folder.Stopped())
				if losePower {
					folder.LosePower(func(int) int { return 0 }, func(string) bool { return random.IntN(2) == 0 })
				} else {
					folder.Kill()
				}
				_, _, err = disk.Open(folder)
				if disk.IsDamaged(err) {
					must.NoError(t, disk.SetAside(folder))
				}
			}
			folder.StopAfter(-1)
			_, _, err = disk.Open(folder)
			must.ErrorIs(t, err, disk.ErrEmpty)
			s, err = disk.Create(folder, &wire.ReplicaIdentity{Identity: "two"})
			must.NoError(t, err)
			must.NoError(t, s.Close())
			for _, name := range []string{"identity", "log-0000000000000001", "snapshot-0000000000000007"} {
				_, err := folder.Content(disk.AsidePrefix + name)
				must.NoError(t, err, must.Sprint("cut before change ", cut))
			}
			aside, err := folder.Content(disk.AsidePrefix + "identity")
			must.NoError(t, err)
			must.Eq(t, identity, aside)
		}
	}
}

// Guards against a disk that fills up with the files of replicas that were damaged before.
func TestOnlyTheLastDamagedReplicaIsKept(t *testing.T) {
	folder := memory.New()
	for _, identity := range []string{"one", "two", "three"} {
		s, err := disk.Create(folder, &wire.ReplicaIdentity{Identity: identity})
		must.NoError(t, err)
		must.NoError(t, s.SaveSnapshot(&wire.LogSnapshot{Index: 7, State: []byte("state")}))
		must.NoError(t, s.Close())
		damage(t, folder)
		must.NoError(t, disk.SetAside(folder))
	}
	names, err := folder.Names()
	must.NoError(t, err)
	must.SliceLen(t, 3, names) // identity, log and snapshot
	for _, name := range names {
		must.True(t, strings.HasPrefix(name, disk.AsidePrefix))
	}
	aside, err := folder.Content(disk.AsidePrefix + "identity")
	must.NoError(t, err)
	must.StrContains(t, string(aside), "three")
}
