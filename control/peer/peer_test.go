package peer_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/peer"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

func TestAnyHostAcceptsProposalsAndConfirmsReads(t *testing.T) {
	g := newGroup(t, 3)
	for n, h := range g.hosts {
		must.True(t, g.submit(h, uint64(n)).GetAccepted())
	}
	for _, h := range g.hosts {
		g.eventually("a confirmed read", func() bool { return h.node.Confirm(context.Background()) == nil })
		version, _ := h.machine.InForce()
		must.Eq(t, 3, version.GetNumber())
	}
}

func TestFailedDiskStopsAcceptancePermanently(t *testing.T) {
	g := newGroup(t, 3)
	g.submit(g.hosts[0], 0)
	failed := g.leader()
	failed.folder.FailSyncs(errors.New("input/output error"))
	_, err := failed.node.Propose(context.Background(), submission(1))
	must.Error(t, err)
	failed.folder.FailSyncs(nil)
	must.ErrorIs(t, failed.node.Confirm(context.Background()), agreement.ErrNoQuorum)
	_, err = failed.node.Propose(context.Background(), submission(1))
	must.ErrorIs(t, err, agreement.ErrNoQuorum)
	must.False(t, failed.node.Status().Quorum())
	must.True(t, g.submit(g.others(failed)[0], 1).GetAccepted())
}

// A control host whose disk had been full never took part again, so that the next loss of a
// disk left the group without a quorum.
func TestHostWhoseDiskWasFullTakesPartAgain(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			g := newGroup(t, 3)
			g.submit(g.hosts[0], 0)
			full := g.leader()
			if role == "follower" {
				full = g.others(full)[0]
			}
			others := g.others(full)
			full.folder.SetFreeSpace(30)
			for n := range uint64(5) {
				must.True(t, g.submit(others[n%2], 1+n).GetAccepted())
			}
			g.eventually("a host that is out", func() bool { return !full.node.Status().Quorum() })
			must.ErrorIs(t, full.node.Confirm(context.Background()), agreement.ErrNoQuorum)
			full.folder.SetFreeSpace(-1)
			g.eventually("a host that is back", func() bool { return full.node.Confirm(context.Background()) == nil })
			version, _ := full.machine.InForce()
			must.Eq(t, 6, version.GetNumber())

			g.loseDisk(others[0])
			must.True(t, g.submit(others[1], 6).GetAccepted())
			full.stop()
			g.start(full)
			g.eventually("a restarted host", func() bool { return full.node.Confirm(context.Background()) == nil })
			version, _ = full.machine.InForce()
			must.Eq(t, 7, version.GetNumber())
		})
	}
}

func TestHostWithoutQuorumAcceptsAndConfirmsNothing(t *testing.T) {
	g := newGroup(t, 3)
	g.submit(g.hosts[0], 0)
	isolated := g.leader()
	for _, h := range g.others(isolated) {
		h.stop()
	}
	must.ErrorIs(t, isolated.node.Confirm(context.Background()), agreement.ErrNoQuorum)
	_, err := isolated.node.Propose(context.Background(), submission(1))
	must.Error(t, err)
	version, _ := isolated.machine.InForce()
	must.Eq(t, 1, version.GetNumber())
}

func TestRestartedGroupRestoresVersionInForce(t *testing.T) {
	g := newGroup(t, 3)
	for n := range uint64(20) {
		g.submit(g.hosts[n%3], n)
	}
	for _, h := range g.hosts {
		h.stop()
	}
	for _, h := range g.hosts {
		g.start(h)
	}
	again := g.submit(g.hosts[1], 7)
	must.True(t, again.GetAccepted())
	must.Eq(t, 8, again.GetVersion().GetNumber())
	must.True(t, g.submit(g.hosts[2], 20).GetAccepted())
}

// Only the leader tracks reachability. A follower must report it all the same, from
// the members that the leader returns with a read index.
func TestFollowerReportsReachability(t *testing.T) {
	g := newGroup(t, 3)
	g.submit(g.hosts[0], 0)
	leader := g.leader()
	follower, unreachable := g.others(leader)[0], g.others(leader)[1]
	unreachable.stop()
	g.eventually("one unreachable member", func() bool {
		confirmed := follower.node.Confirm(context.Background()) == nil
		reachable := map[string]bool{}
		for _, m := range follower.node.Status().Members() {
			reachable[m.GetName()] = m.GetReachable()
		}
		return confirmed && reachable[follower.name] && !reachable[unreachable.name]
	})
}

func TestStoppingLeaderTransfersLeadership(t *testing.T) {
	g := newGroup(t, 3)
	g.submit(g.hosts[0], 0)
	old := g.leader()
	term := old.node.Status().Term()
	old.node.TransferLeadership(context.Background())
	old.stop()
	next := g.leader()
	must.NotEq(t, old.name, next.name)
	must.Greater(t, term, next.node.Status().Term())
	must.True(t, g.submit(g.others(old)[0], 1).GetAccepted())
}

// A stopping leader hands its log over, so the commands in it are committed by its
// successor: their outcome is known.
func TestCommandInProgressAtATransferIsNotUncertain(t *testing.T) {
	g := newGroup(t, 5)
	g.submit(g.hosts[0], 0)
	leader := g.leader()
	others := g.others(leader)
	var reachable []func()
	for _, h := range others[1:] { // the command reaches the successor only, which is no quorum
		handler := h.handler.Swap(nil)
		reachable = append(reachable, func() { h.handler.Store(handler) })
	}
	outcome := make(chan error, 1)
	go func() {
		_, err := leader.node.Propose(context.Background(), submission(1))
		outcome <- err
	}()
	g.eventually("the command at the successor", func() bool {
		leaderView := leader.node.Status()
		for _, m := range leaderView.Members() {
			if m.GetName() == others[0].name {
				return m.GetMatchIndex() > leaderView.CommitIndex()
			}
		}
		return false
	})
	leader.node.TransferLeadership(context.Background())
	for _, connect := range reachable {
		connect()
	}
	must.False(t, errors.Is(<-outcome, agreement.ErrUncertain)) // committed, or overwritten by another leader
}

// A node that has stopped takes no command, so none is uncertain.
func TestStoppedHostTakesNoCommand(t *testing.T) {
	g := newGroup(t, 1)
	g.submit(g.hosts[0], 0)
	g.hosts[0].stop()
	for range 20 {
		_, err := g.hosts[0].node.Propose(context.Background(), submission(1))
		must.ErrorIs(t, err, agreement.ErrNotLeader)
	}
}

// A host that the leader cannot send to any more gets a read index that it never
// applies.
func TestReadOnHostWithoutEntriesEnds(t *testing.T) {
	g := newGroup(t, 3)
	g.submit(g.hosts[0], 0)
	leader := g.leader()
	behind := g.others(leader)[0]
	g.eventually("a confirmed read", func() bool { return behind.node.Confirm(context.Background()) == nil })
	behind.handler.Store(nil)
	g.submit(leader, 1)
	outcome := make(chan error, 1)
	go func() { outcome <- behind.node.Confirm(context.Background()) }()
	select {
	case err := <-outcome:
		must.ErrorIs(t, err, agreement.ErrNoQuorum)
	case <-time.After(testTimeout / 6):
		must.Unreachable(t, must.Sprint("the read has no outcome"))
	}
}

// replace adds a host with an empty disk to the group in place of its old
// identity.
func (g *group) replace(h *host, old string) {
	other := g.others(h)[0]
	g.change(other, peer.ChangeAddLearner, &wire.Member{Name: h.name, Address: h.address()})
	g.change(other, peer.ChangePromote, &wire.Member{Identity: h.store.Identity().GetIdentity()})
	g.change(other, peer.ChangeRemove, &wire.Member{Identity: old})
}

func TestLostDiskIsReplacedThenASecondIsLost(t *testing.T) {
	g := newGroup(t, 3)
	g.submit(g.hosts[0], 0)
	for n, h := range g.hosts {
		old := h.store.Identity().GetIdentity()
		g.loseDisk(h)
		g.start(h)
		must.NotEq(t, old, h.store.Identity().GetIdentity())
		g.replace(h, old)
		must.True(t, g.submit(h, uint64(n+1)).GetAccepted())
	}
	leader := g.leader()
	g.eventually("a confirmed read", func() bool { return leader.node.Confirm(context.Background()) == nil })
	version, _ := leader.machine.InForce()
	must.Eq(t, 4, version.GetNumber())
	// The status of a host lags by up to one tick.
	g.eventually("three voters and no one else", func() bool {
		members := g.leader().node.Status().Members()
		voters := 0
		for _, m := range members {
			if m.GetRole() == quorum.Voter {
				voters++
			}
		}
		return voters == 3 && len(members) == 3
	})
}

// The first initial host bootstraps the group. With an empty disk it must not
// bootstrap another one while any other host belongs to a group.
func TestHostWithEmptyDiskFormsNoSecondGroup(t *testing.T) {
	g := newGroup(t, 3)
	g.submit(g.hosts[0], 0)
	first := g.hosts[0]
	g.loseDisk(first)
	g.start(first)
	g.submit(g.hosts[1], 1)
	must.Eq(t, "", first.store.Identity().GetGroup())
	must.False(t, first.node.Status().Quorum())
}

func TestFollowerFarBehindCatchesUpBySnapshot(t *testing.T) {
	g := newGroup(t, 3)
	g.submit(g.hosts[0], 0)
	leader := g.leader()
	behind := g.others(leader)[0]
	behind.stop()
	g.evacuate(leader, "a", false)
	body := bytes.Repeat([]byte("x"), 60<<10)
	for n := range 150 {
		key := &wire.ClaimKey{IdempotencyKey: string(rune('a' + n))}
		claim := &wire.Command{Body: &wire.Command_Claim{Claim: &wire.ClaimRequest{Key: key, ClaimId: "one"}}}
		complete := &wire.Command{Body: &wire.Command_Complete{Complete: &wire.CompleteRequest{Key: key, ClaimId: "one", Answer: &wire.StoredAnswer{Body: body}}}}
		for _, cmd := range []*wire.Command{claim, complete} {
			g.eventually("a command", func() bool {
				_, err := leader.node.Propose(context.Background(), cmd)
				return err == nil
			})
		}
	}
	g.eventually("a snapshot", func() bool {
		snapshot, err := leader.store.Snapshot()
		must.NoError(t, err)
		return snapshot.GetIndex() > 100
	})
	g.start(behind)
	g.eventually("the same state", func() bool {
		want, err := leader.machine.Snapshot()
		must.NoError(t, err)
		got, err := behind.machine.Snapshot()
		must.NoError(t, err)
		return bytes.Equal(want, got)
	})
	zones, _ := behind.machine.EvacuatedZones()
	must.Eq(t, []string{"a"}, zones)
}

func TestTransferMovesLeadershipToNamedHost(t *testing.T) {
	g := newGroup(t, 3)
	g.submit(g.hosts[0], 0)
	leader := g.leader()
	next := g.others(leader)[1]
	g.eventually("the transfer", func() bool {
		response, err := g.others(leader)[0].node.Group().Transfer(context.Background(), &wire.TransferRequest{To: next.name})
		return (err == nil && response.GetLeader() == next.name) || g.leader() == next
	})
}
