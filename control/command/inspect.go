package command

import (
	"fmt"
	"io"

	"github.com/snipebeam/snipebeam/control/disk"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Inspect prints what a data folder holds.
type Inspect struct {
	Data string `arg:"" help:"Data folder." type:"existingdir"`
}

// Run reads the folder; that of a running host may be read too.
func (c *Inspect) Run(w io.Writer) error {
	contents, err := openFolder(c.Data)
	if err != nil {
		return err
	}
	machine, last, err := replay(contents)
	if err != nil {
		return err
	}
	printReplica(w, contents, last)
	printState(w, machine)
	return nil
}

func printReplica(w io.Writer, c *disk.Contents, last *wire.LogSnapshot) {
	saved := c.PersistentState()
	fmt.Fprintf(w, "name           %s\n", c.Identity().GetName())
	fmt.Fprintf(w, "identity       %s\n", c.Identity().GetIdentity())
	fmt.Fprintf(w, "group          %s\n", orNone(c.Identity().GetGroup()))
	fmt.Fprintf(w, "term           %d\n", saved.Vote.GetTerm())
	fmt.Fprintf(w, "voted for      %s\n", orNone(saved.Vote.GetVote()))
	fmt.Fprintf(w, "snapshot       index %d, term %d, %d bytes\n", saved.Snapshot.GetIndex(), saved.Snapshot.GetTerm(), len(saved.Snapshot.GetState()))
	fmt.Fprintf(w, "log            %d files, %d records, %d entries after the snapshot\n", len(c.Segments()), c.Records(), len(saved.Entries))
	fmt.Fprintf(w, "last entry     index %d, term %d\n", last.GetIndex(), last.GetTerm())
	for _, m := range newestMembers(saved.Snapshot, saved.Entries) {
		fmt.Fprintf(w, "member         %s %s %s %s\n", m.GetName(), m.GetRole(), m.GetAddress(), m.GetIdentity())
	}
}

func printState(w io.Writer, machine *state.Machine) {
	version, _ := machine.InForce()
	held, unknown := machine.CountClaims()
	fmt.Fprintf(w, "newest version %d %s by %s: %s\n", version.GetNumber(), orNone(version.GetDigest()), orNone(version.GetAuthor()), orNone(version.GetReason()))
	fmt.Fprintf(w, "claims         %d held, %d unknown\n", held, unknown)
}

func newestMembers(snapshot *wire.LogSnapshot, entries []*wire.LogEntry) []*wire.Member {
	members := snapshot.GetMembers().GetMembers()
	for _, e := range entries {
		if e.GetKind() == wire.EntryKind_ENTRY_MEMBERS {
			members = e.GetMembers().GetMembers()
		}
	}
	return members
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
