package peer

import (
	"context"
	"hash/fnv"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/disk"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

// OpenStore opens the replica of a data folder, or makes a new one with a new
// identity in an empty folder.
func OpenStore(folder disk.Folder, name string) (*disk.Store, quorum.PersistentState, error) {
	store, saved, err := disk.Open(folder)
	if !errors.Is(err, disk.ErrEmpty) {
		return store, saved, err
	}
	identity := &wire.ReplicaIdentity{Identity: uuid.NewString(), Name: name}
	store, err = disk.Create(folder, identity)
	return store, quorum.PersistentState{}, err
}

// form makes the group when this host comes first in the initial membership
// and no host of it belongs to a group yet. All of them must answer: a host
// with a blank disk, whatever its name, never forms a second group beside one
// that still has a member.
func (n *Node) form(ctx context.Context) error {
	if n.store.Identity().GetGroup() != "" {
		return nil
	}
	if len(n.cfg.InitialHosts) == 0 || n.cfg.InitialHosts[0].Name != n.cfg.Name {
		n.logger.Info("this control host waits to be taken into a group", "identity", n.replica.ID())
		return nil
	}
	n.logger.Info("waiting for the control hosts of the first membership", "hosts", len(n.cfg.InitialHosts))
	for ctx.Err() == nil && n.store.Identity().GetGroup() == "" {
		members, formed := n.gather(ctx)
		if formed {
			n.logger.Warn("a group exists already: this replica must be added to it", "identity", n.replica.ID())
			return nil
		}
		if len(members) == len(n.cfg.InitialHosts) {
			return n.found(members)
		}
		pause.For(ctx, n.cfg.electionTime())
	}
	return nil
}

// gather asks every host of the initial membership for its identity. It
// reports whether one of them belongs to a group.
func (n *Node) gather(ctx context.Context) (members []*wire.Member, formed bool) {
	for _, host := range n.cfg.InitialHosts {
		identity, name := n.store.Identity().GetIdentity(), host.Name
		if host.Name != n.cfg.Name {
			answer, err := n.hello(ctx, host.Address)
			if err != nil {
				return nil, false
			}
			if answer.GetGroup() != "" {
				return nil, true
			}
			identity, name = answer.GetIdentity(), answer.GetName()
		}
		members = append(members, &wire.Member{Name: name, Address: host.Address, Role: quorum.Voter, Identity: identity})
	}
	return members, false
}

func (n *Node) hello(ctx context.Context, address string) (*wire.HelloResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.electionTime())
	defer cancel()
	return n.clients.quorum(address).Hello(ctx, &wire.HelloRequest{})
}

// found writes the first entry of the log: the membership.
func (n *Node) found(members []*wire.Member) error {
	n.joinMu.Lock()
	defer n.joinMu.Unlock()
	if n.store.Identity().GetGroup() != "" {
		return nil
	}
	first := &wire.LogEntry{Index: 1, Term: 1, Kind: wire.EntryKind_ENTRY_MEMBERS, Members: &wire.Members{Members: members}}
	saved := quorum.PersistentState{Vote: &wire.SavedVote{Term: 1}, Entries: []*wire.LogEntry{first}}
	if err := n.store.Write(saved.Vote, saved.Entries); err != nil {
		return err
	}
	if err := n.store.JoinGroup(uuid.NewString()); err != nil {
		return err
	}
	n.logger.Info("formed a control group", "group", n.store.Identity().GetGroup(), "members", describe(members))
	n.start(saved)
	return nil
}

func describe(members []*wire.Member) string {
	var parts []string
	for _, m := range members {
		parts = append(parts, m.GetName()+" "+m.GetRole()+" "+m.GetIdentity())
	}
	return strings.Join(parts, ", ")
}

func seedOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
