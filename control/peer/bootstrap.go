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

// OpenStore opens the store of a data folder. In an empty folder it creates one
// with a new identity.
func OpenStore(folder disk.Folder, name string) (*disk.Store, quorum.PersistentState, error) {
	store, saved, err := disk.Open(folder)
	if !errors.Is(err, disk.ErrEmpty) {
		return store, saved, err
	}
	identity := &wire.ReplicaIdentity{Identity: uuid.NewString(), Name: name}
	store, err = disk.Create(folder, identity)
	return store, quorum.PersistentState{}, err
}

// ReplaceStore sets the files of a damaged replica aside and creates a store with a new identity.
// The replica has neither the log nor the vote of the old one, as after the loss of its disk.
func ReplaceStore(folder disk.Folder, name string) (*disk.Store, quorum.PersistentState, error) {
	if err := disk.SetAside(folder); err != nil {
		return nil, quorum.PersistentState{}, err
	}
	return OpenStore(folder, name)
}

// formGroup bootstraps the group if this host is the first of the initial hosts
// and none of them belongs to a group yet. All of them must respond: a host with
// an empty disk, whatever its name, must never form a second group beside one
// that still has a member.
func (n *Node) formGroup(ctx context.Context) error {
	if n.store.Identity().GetGroup() != "" {
		return nil
	}
	if len(n.cfg.InitialHosts) == 0 || n.cfg.InitialHosts[0].Name != n.cfg.Name {
		n.logger.Info("waiting to be added to a control group", "identity", n.replica.ID())
		return nil
	}
	n.logger.Info("waiting for all initial control hosts to respond", "hosts", len(n.cfg.InitialHosts))
	for ctx.Err() == nil && n.store.Identity().GetGroup() == "" {
		members, formed := n.collectMembers(ctx)
		if formed {
			n.logger.Warn("a control group already exists; this replica must be added to it", "identity", n.replica.ID())
			return nil
		}
		if len(members) == len(n.cfg.InitialHosts) {
			return n.bootstrap(members)
		}
		pause.For(ctx, n.cfg.electionTimeout())
	}
	return nil
}

// collectMembers requests the identity of every initial host. It reports whether
// one of them already belongs to a group.
func (n *Node) collectMembers(ctx context.Context) (members []*wire.Member, formed bool) {
	for _, host := range n.cfg.InitialHosts {
		identity, name := n.store.Identity().GetIdentity(), host.Name
		if host.Name != n.cfg.Name {
			response, err := n.hello(ctx, host.Address)
			if err != nil {
				return nil, false
			}
			if response.GetGroup() != "" {
				return nil, true
			}
			identity, name = response.GetIdentity(), response.GetName()
		}
		members = append(members, &wire.Member{Name: name, Address: host.Address, Role: quorum.Voter, Identity: identity})
	}
	return members, false
}

func (n *Node) hello(ctx context.Context, address string) (*wire.HelloResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.electionTimeout())
	defer cancel()
	return n.clients.quorum(address).Hello(ctx, &wire.HelloRequest{})
}

// bootstrap writes the initial membership as the first log entry and starts the
// replica.
func (n *Node) bootstrap(members []*wire.Member) error {
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
	n.logger.Info("formed a control group", "group", n.store.Identity().GetGroup(), "members", describeMembers(members))
	n.start(saved)
	return nil
}

func describeMembers(members []*wire.Member) string {
	var parts []string
	for _, m := range members {
		parts = append(parts, m.GetName()+" "+m.GetRole()+" "+m.GetIdentity())
	}
	return strings.Join(parts, ", ")
}

func randomSeed(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
