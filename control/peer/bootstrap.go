package peer

import (
	"context"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/disk"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

// OpenStore opens the store of a data folder. In an empty folder it creates one
// with a new identity. initialHosts are the addresses of the initial hosts at the first start of the
// whole system, of which this host is one, else none.
func OpenStore(folder disk.Folder, name string, initialHosts ...string) (*disk.Store, quorum.PersistentState, error) {
	store, saved, err := disk.Open(folder)
	if !errors.Is(err, disk.ErrEmpty) {
		return store, saved, err
	}
	identity := &wire.ReplicaIdentity{Identity: uuid.NewString(), Name: name, InitialHosts: initialHosts}
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

// initialHosts returns the initial membership: the configured one, or the one with which the replica
// was created, if the process was restarted before there was a group.
func initialHosts(cfg Config, identity *wire.ReplicaIdentity) []Host {
	if len(cfg.InitialHosts) > 0 || identity.GetGroup() != "" {
		return cfg.InitialHosts
	}
	var hosts []Host
	for _, address := range identity.GetInitialHosts() {
		host := Host{Address: address}
		if address == cfg.Address {
			host.Name = cfg.Name
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// formGroup bootstraps the group if none of the initial hosts belongs to one yet and this host is the
// first of those that know that they are initial hosts. All of them must respond, and a majority
// must know it: a host with an empty disk, whatever its name, must never form a second group beside
// one that still has a member. A group commits nothing before a majority of the initial hosts has
// joined it, and a host that has joined one, or has lost its disk since, does not count.
func (n *Node) formGroup(ctx context.Context) {
	self := n.store.Identity()
	if self.GetGroup() != "" {
		return
	}
	if !slices.ContainsFunc(n.cfg.InitialHosts, func(h Host) bool { return h.Name == n.cfg.Name }) {
		n.logger.Info("waiting to be added to a control group", "identity", self.GetIdentity())
		return
	}
	n.logger.Info("waiting for all initial control hosts to respond", "hosts", len(n.cfg.InitialHosts))
	for ctx.Err() == nil && n.store.Identity().GetGroup() == "" {
		found := n.findInitialHosts(ctx)
		if found.formed {
			n.logger.Info("a control group already exists; this replica waits for its messages or to be added", "identity", self.GetIdentity())
			return
		}
		if len(found.members) == len(n.cfg.InitialHosts) && found.isFirst && 2*found.initial > len(found.members) {
			n.do(ctx, func() {
				if err := n.bootstrap(found.members); err != nil {
					n.fail(err)
				}
			})
		}
		pause.For(ctx, n.cfg.electionTimeout())
	}
}

// initialGroup is what the initial hosts say of themselves.
type initialGroup struct {
	members []*wire.Member
	initial int  // members that know that they are initial hosts
	isFirst bool // this host is the first of them
	formed  bool // a host belongs to a group already
}

// findInitialHosts requests the identity of every initial host, up to one that does not respond or
// belongs to a group.
func (n *Node) findInitialHosts(ctx context.Context) initialGroup {
	var g initialGroup
	for _, host := range n.cfg.InitialHosts {
		identity, name, initial := n.store.Identity().GetIdentity(), host.Name, true
		if host.Name != n.cfg.Name {
			response, err := n.hello(ctx, host.Address)
			if err != nil {
				return initialGroup{}
			}
			if response.GetGroup() != "" {
				return initialGroup{formed: true}
			}
			identity, name, initial = response.GetIdentity(), response.GetName(), !response.GetWaitsToBeAdded()
		}
		if initial {
			g.isFirst = g.isFirst || g.initial == 0 && host.Name == n.cfg.Name
			g.initial++
		}
		g.members = append(g.members, &wire.Member{Name: name, Address: host.Address, Role: quorum.Voter, Identity: identity})
	}
	return g
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
