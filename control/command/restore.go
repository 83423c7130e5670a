package command

import (
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/disk"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Restore makes a new group of one host from a backup. Identity and group are
// new: what is restored can never vote in the group that it came from.
type Restore struct {
	File    string `arg:"" help:"Backup." type:"existingfile"`
	Data    string `arg:"" help:"Data folder to make; it must be empty."`
	Name    string `help:"Name of the host." required:""`
	Address string `help:"Address of the host for the other control hosts." required:""`
}

// Run makes the data folder.
func (c *Restore) Run(w io.Writer) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read backup")
	}
	snapshot, err := disk.DecodeSnapshot(data)
	if err != nil {
		return errors.Wrap(err, "read backup "+c.File)
	}
	identity := &wire.ReplicaIdentity{Identity: uuid.NewString(), Group: uuid.NewString(), Name: c.Name}
	self := &wire.Member{Name: c.Name, Address: c.Address, Role: quorum.Voter, Identity: identity.GetIdentity()}
	snapshot.Members = &wire.Members{Members: []*wire.Member{self}}
	folder, err := disk.NewOSFolder(c.Data)
	if err != nil {
		return err
	}
	store, err := disk.CreateFrom(folder, identity, snapshot)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s is a group of one host, %s; add the others with snipebeam group add\n", c.Data, c.Name)
	return store.Close()
}
