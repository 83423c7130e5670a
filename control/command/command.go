// Package command implements the subcommands of snipebeam-control that work on
// a data folder: inspect, backup and restore.
//
// Usage:
//
//	type cli struct {
//		Inspect command.Inspect `cmd:""`
//	}
package command

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/disk"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// openFolder opens an existing data folder.
func openFolder(path string) (*disk.Contents, error) {
	files, err := disk.NewOSFolder(path)
	if err != nil {
		return nil, err
	}
	contents, err := disk.Read(files)
	return contents, errors.Wrap(err, "read "+path)
}

// replay returns the state after all entries of a folder, with the index and
// the term of the last one. It may include entries that were not committed: one
// folder does not show which of its last entries were.
func replay(c *disk.Contents) (*state.Machine, *wire.LogSnapshot, error) {
	saved := c.PersistentState()
	machine := state.New()
	last := &wire.LogSnapshot{Index: saved.Snapshot.GetIndex(), Term: saved.Snapshot.GetTerm()}
	if data := saved.Snapshot.GetState(); len(data) > 0 {
		if err := machine.Restore(data); err != nil {
			return nil, nil, errors.Wrap(err, "restore snapshot")
		}
	}
	for _, e := range saved.Entries {
		last.Index, last.Term = e.GetIndex(), e.GetTerm()
		if e.GetKind() != wire.EntryKind_ENTRY_COMMAND {
			continue
		}
		cmd := &wire.Command{}
		if err := proto.Unmarshal(e.GetData(), cmd); err != nil {
			return nil, nil, errors.Wrapf(err, "decode entry %d", e.GetIndex())
		}
		machine.Apply(cmd)
	}
	return machine, last, nil
}
