package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/command"
	"github.com/snipebeam/snipebeam/control/disk"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// folderWithOneChange makes a replica with one accepted change in its log.
func folderWithOneChange(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "data")
	files, err := disk.NewOSFolder(path)
	must.NoError(t, err)
	store, err := disk.Create(files, &wire.ReplicaIdentity{Identity: "old", Group: "old group", Name: "control-1"})
	must.NoError(t, err)
	cmd := &wire.Command{Body: &wire.Command_Submit{Submit: &wire.SubmitRequest{SubmissionId: "a", Text: "one", Author: "anna", Reason: "first"}}}
	data, err := proto.Marshal(cmd)
	must.NoError(t, err)
	members := &wire.Members{Members: []*wire.Member{{Name: "control-1", Identity: "old", Role: "voter"}}}
	must.NoError(t, store.Write(&wire.SavedVote{Term: 3, Vote: "old"}, []*wire.LogEntry{
		{Index: 1, Term: 1, Kind: wire.EntryKind_ENTRY_MEMBERS, Members: members},
		{Index: 2, Term: 3, Data: data},
	}))
	must.NoError(t, store.Close())
	return path
}

func TestInspectPrintsTheFolder(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, (&command.Inspect{Data: folderWithOneChange(t)}).Run(&out))
	for _, part := range []string{"identity       old", "term           3", "index 2, term 3", "newest version 1", "by anna: first", "member         control-1 voter"} {
		must.StrContains(t, out.String(), part)
	}
}

func TestRestoredStateHasANewIdentityAndGroup(t *testing.T) {
	dir := t.TempDir()
	file, data := filepath.Join(dir, "backup"), filepath.Join(dir, "restored")
	must.NoError(t, (&command.Backup{Data: folderWithOneChange(t), File: file}).Run(&bytes.Buffer{}))
	must.Error(t, (&command.Backup{Data: folderWithOneChange(t), File: file}).Run(&bytes.Buffer{}))
	restore := &command.Restore{File: file, Data: data, Name: "control-1", Address: "127.0.0.1:7100"}
	must.NoError(t, restore.Run(&bytes.Buffer{}))
	must.Error(t, restore.Run(&bytes.Buffer{}))
	files, err := disk.NewOSFolder(data)
	must.NoError(t, err)
	store, saved, err := disk.Open(files)
	must.NoError(t, err)
	defer func() { must.NoError(t, store.Close()) }()
	must.NotEq(t, "old", store.Identity().GetIdentity())
	must.NotEq(t, "old group", store.Identity().GetGroup())
	must.Eq(t, store.Identity().GetIdentity(), saved.Snapshot.GetMembers().GetMembers()[0].GetIdentity())
	must.SliceLen(t, 1, saved.Snapshot.GetMembers().GetMembers())
	must.Eq(t, 3, saved.Vote.GetTerm())
	machine := state.New()
	must.NoError(t, machine.Restore(saved.Snapshot.GetState()))
	version, text := machine.InForce()
	must.Eq(t, 1, version.GetNumber())
	must.Eq(t, "one", text)
}

func TestDamagedBackupIsRefused(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "backup")
	must.NoError(t, (&command.Backup{Data: folderWithOneChange(t), File: file}).Run(&bytes.Buffer{}))
	content, err := os.ReadFile(file)
	must.NoError(t, err)
	content[len(content)/2] ^= 1
	must.NoError(t, os.WriteFile(file, content, 0o600))
	must.Error(t, (&command.Restore{File: file, Data: filepath.Join(dir, "restored"), Name: "c", Address: "a"}).Run(&bytes.Buffer{}))
}
