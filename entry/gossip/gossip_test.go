package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/gossip"
	"github.com/snipebeam/snipebeam/world/wire"
)

// convergenceTime is enough for a group of 29 hosts to agree on the membership.
const convergenceTime = 12 * time.Second

func TestHostsFindEachOtherFromOneSeed(t *testing.T) {
	w := newNetwork(29, 1)
	w.loss = 0.05
	w.run(convergenceTime)
	must.NoError(t, w.converged())
}

func TestDrainingIsSeenByAllWithinTwoSeconds(t *testing.T) {
	for seed := range uint64(10) {
		w := newNetwork(29, seed)
		for n := range 31 {
			w.announce(fmt.Sprintf("i%d", n), w.nodes[n%29].name)
		}
		w.run(convergenceTime)
		must.NoError(t, w.converged())
		w.loss = 0.1
		w.announcers["i3"].message.Draining = true
		took := w.timeUntil(10*time.Second, func(n *node) bool { return n.core.Instance("i3").GetDraining() })
		must.LessEq(t, 2*time.Second, took)
		b := w.announcers["i5"]
		delete(w.announcers, "i5")
		out, err := w.byName[b.entry].core.Withdraw(w.clock(w.byName[b.entry]), "i5", 1)
		must.NoError(t, err)
		w.apply(w.byName[b.entry], out)
		took = w.timeUntil(10*time.Second, func(n *node) bool { return !n.core.Usable("i5") })
		must.LessEq(t, 2*time.Second, took)
	}
}

func TestSilentInstanceIsDroppedAfterItsLease(t *testing.T) {
	w := newNetwork(29, 2)
	w.announce("i", "e03")
	w.run(convergenceTime)
	delete(w.announcers, "i")
	took := w.timeUntil(20*time.Second, func(n *node) bool { return !n.core.Usable("i") })
	must.Between(t, gossip.LeaseTime-time.Second, took, gossip.LeaseTime+2*time.Second)
}

func TestInstanceOfALostHostIsNotDroppedBeforeItMoves(t *testing.T) {
	w := newNetwork(29, 3)
	w.announce("i", "e03")
	w.connects["i"] = false
	w.run(convergenceTime)
	w.byName["e03"].down = true
	for range 300 {
		w.run(100 * time.Millisecond)
		for _, n := range w.nodes {
			must.True(t, n.down || n.core.Usable("i"), must.Sprintf("%s at %s", n.name, w.now))
		}
	}
	must.NoError(t, w.converged())
}

func TestInstanceLostWithItsHostIsDropped(t *testing.T) {
	w := newNetwork(9, 4)
	w.announce("i", "e03")
	w.run(convergenceTime)
	w.byName["e03"].down = true
	delete(w.announcers, "i")
	w.connects["i"] = false
	took := w.timeUntil(60*time.Second, func(n *node) bool { return !n.core.Usable("i") })
	must.LessEq(t, 20*time.Second, took)
}

func TestPartitionedHalfKeepsWhatItCanReach(t *testing.T) {
	w := newNetwork(10, 5)
	for n := range 10 {
		name := w.nodes[n].name
		w.announce(fmt.Sprintf("i%d", n), name).reaches = func(entry string) bool { return entry == name }
	}
	w.run(convergenceTime)
	w.partition(5)
	for range 600 {
		w.run(100 * time.Millisecond)
		for _, n := range w.nodes {
			for id := range w.announcers {
				must.True(t, n.core.Usable(id), must.Sprintf("%s lost %s at %s", n.name, id, w.now))
			}
		}
	}
	w.heal()
	w.run(convergenceTime)
	must.NoError(t, w.converged())
	for n := range 10 {
		must.Eq(t, w.nodes[n].name, w.nodes[0].core.Instance(fmt.Sprintf("i%d", n)).GetHeardBy())
	}
}

func TestPartitionedHalfDropsWhatItCannotReach(t *testing.T) {
	w := newNetwork(10, 6)
	w.announce("i", "e07").reaches = func(entry string) bool { return entry == "e07" }
	w.run(convergenceTime)
	w.connects["i"] = false
	w.partition(5)
	w.run(30 * time.Second)
	must.False(t, w.nodes[0].core.Usable("i"))
	must.True(t, w.nodes[7].core.Usable("i"))
	w.heal()
	w.run(convergenceTime)
	must.NoError(t, w.converged())
}

func TestOldIncarnationIsNeverRestored(t *testing.T) {
	w := newNetwork(5, 7)
	w.announce("i", "e01").message.Incarnation = 7
	w.run(convergenceTime)
	old := w.nodes[4].core.Instance("i")
	w.announcers["i"].message.Incarnation = 8
	w.run(2 * time.Second)
	out := w.nodes[4].core.Merge(w.clock(w.nodes[4]), nil, []*wire.Instance{old})
	must.SliceEmpty(t, out.Instances)
	must.Eq(t, 8, w.nodes[4].core.Instance("i").GetIncarnation())
	_, err := w.nodes[2].core.Announce(w.clock(w.nodes[2]), &wire.Instance{Id: "i", Service: "catalogue", Incarnation: 7})
	must.ErrorIs(t, err, gossip.ErrOldIncarnation)
	_, err = w.nodes[2].core.Withdraw(w.clock(w.nodes[2]), "i", 7)
	must.ErrorIs(t, err, gossip.ErrOldIncarnation)
	_, err = w.nodes[2].core.Withdraw(w.clock(w.nodes[2]), "i", 8)
	must.NoError(t, err)
	_, err = w.nodes[2].core.Announce(w.clock(w.nodes[2]), &wire.Instance{Id: "i", Service: "catalogue", Incarnation: 8})
	must.ErrorIs(t, err, gossip.ErrLeft)
}

func TestHeartbeatOvertakenByDrainingChangesNothing(t *testing.T) {
	w := newNetwork(3, 8)
	announce := func(n int, sequence uint64, draining bool) {
		m := &wire.Instance{Id: "i", Service: "catalogue", Incarnation: 1, Sequence: sequence, Draining: draining}
		out, err := w.nodes[n].core.Announce(w.clock(w.nodes[n]), m)
		must.NoError(t, err)
		w.apply(w.nodes[n], out)
	}
	w.run(2 * time.Second)
	announce(0, 1, false)
	announce(0, 3, true)
	w.run(time.Second)
	announce(1, 2, false)
	w.run(time.Second)
	for _, n := range w.nodes {
		must.True(t, n.core.Instance("i").GetDraining())
	}
}

func TestHostWhoseClockWentBackIsAcceptedAfterItsRestart(t *testing.T) {
	w := newNetwork(5, 9)
	w.nodes[2].epoch = 1000
	w.restart(w.nodes[2], 1000)
	w.run(convergenceTime)
	w.nodes[2].down = true
	w.run(convergenceTime)
	w.restart(w.nodes[2], 10)
	w.run(convergenceTime)
	must.NoError(t, w.converged())
}

func TestLeavingHostIsSeenByAllWithinTwoSeconds(t *testing.T) {
	w := newNetwork(29, 10)
	w.run(convergenceTime)
	leaver := w.nodes[6]
	w.apply(leaver, leaver.core.Leave(w.clock(leaver)))
	leaver.paused = true
	took := w.timeUntil(10*time.Second, func(n *node) bool {
		for _, h := range n.core.Hosts() {
			if n != leaver && h.GetName() == leaver.name {
				return false
			}
		}
		return true
	})
	must.LessEq(t, 2*time.Second, took)
}

func TestHostReachedThroughOthersIsNotMarkedDead(t *testing.T) {
	w := newNetwork(8, 11)
	w.run(convergenceTime)
	w.cut[link{"e01", "e02"}], w.cut[link{"e02", "e01"}] = true, true
	w.cut[link{"e03", "e02"}] = true
	for range 600 {
		w.run(100 * time.Millisecond)
		for _, n := range w.nodes {
			must.Len(t, 8, n.core.Hosts())
		}
	}
}

func TestPausedHostDoesNotMarkTheOthersDead(t *testing.T) {
	w := newNetwork(6, 12)
	w.announce("i", "e02")
	w.run(convergenceTime)
	w.nodes[1].paused = true
	w.run(30 * time.Second)
	w.nodes[1].paused = false
	for range 100 {
		w.run(100 * time.Millisecond)
		must.Len(t, 6, w.nodes[1].core.Hosts())
		must.True(t, w.nodes[1].core.Usable("i"))
	}
	must.NoError(t, w.converged())
}

func TestSentBytesStayWithinTheBudgetForManyInstances(t *testing.T) {
	const rate = 3072
	w := newNetwork(10, 13, gossip.WithRate(rate))
	for n := range 400 {
		w.announce(fmt.Sprintf("i%d", n), w.nodes[n%10].name)
	}
	start := w.now
	for range 60 {
		w.run(time.Second)
		for _, b := range w.announcers {
			b.message.Cold = !b.message.Cold
		}
		for _, n := range w.nodes {
			allowed := rate*(w.now-start).Seconds() + 2*rate + 4096
			must.LessEq(t, int(allowed), n.sent, must.Sprint(n.name))
		}
	}
}

func TestStateMissedByUpdatesIsFoundByDigests(t *testing.T) {
	w := newNetwork(6, 14)
	w.pulls = false
	w.run(convergenceTime)
	w.partition(1)
	for n := range 60 {
		w.announce(fmt.Sprintf("i%d", n), "e03").reaches = func(entry string) bool { return entry == "e03" }
	}
	w.run(2 * time.Second)
	w.heal()
	must.LessEq(t, 60*time.Second, w.timeUntil(2*time.Minute, func(n *node) bool { return len(n.core.Instances()) == 60 }))
}

func TestWithdrawalIsFinalThoughTheOtherHalfAdoptedTheInstance(t *testing.T) {
	w := newNetwork(4, 15)
	b := w.announce("i", "e01")
	b.reaches = func(entry string) bool { return entry == "e01" }
	w.run(convergenceTime)
	w.partition(2)
	w.run(20 * time.Second)
	must.NotEq(t, "e01", w.nodes[3].core.Instance("i").GetHeardBy())
	delete(w.announcers, "i")
	out, err := w.nodes[1].core.Withdraw(w.clock(w.nodes[1]), "i", 1)
	must.NoError(t, err)
	w.apply(w.nodes[1], out)
	w.run(time.Second)
	w.heal()
	for range 150 {
		w.run(100 * time.Millisecond)
		must.False(t, w.nodes[0].core.Usable("i"))
		must.False(t, w.nodes[1].core.Usable("i"))
	}
	must.False(t, w.nodes[3].core.Usable("i"))
}

func TestPausedHostKeepsItsLeases(t *testing.T) {
	w := newNetwork(1, 16)
	n := w.nodes[0]
	_, err := n.core.Announce(w.clock(n), &wire.Instance{Id: "i", Service: "catalogue", Incarnation: 1})
	must.NoError(t, err)
	w.run(time.Second)
	n.paused = true
	w.run(10 * time.Second)
	n.paused = false
	w.run(time.Second)
	must.True(t, n.core.Usable("i"))
	w.run(2 * time.Second)
	must.False(t, n.core.Usable("i"))
}

func TestReplayedDatagramIsNotAnswered(t *testing.T) {
	w := newNetwork(2, 17)
	n := w.nodes[1]
	ping := &wire.GossipDatagram{
		From: "e9", To: "e01", Epoch: 1, Sequence: 5, Kind: wire.GossipKind_GOSSIP_PING,
		Hosts: []*wire.GossipHost{{Name: "e9", Epoch: 1, Revision: 1, PeersAddress: "e9"}},
	}
	must.SliceNotEmpty(t, n.core.Receive(w.clock(n), ping).Sends)
	must.SliceEmpty(t, n.core.Receive(w.clock(n), ping).Sends)
}

func TestRecordsThatDifferInAnyFieldAreFound(t *testing.T) {
	w := newNetwork(2, 18)
	w.pulls = false
	w.run(convergenceTime)
	for at, n := range w.nodes {
		m := &wire.Instance{Id: "i", Service: "catalogue", Incarnation: 1, Revision: 1, HeardBy: "e01", Draining: at == 0}
		w.apply(n, n.core.Merge(w.clock(n), nil, []*wire.Instance{m}))
	}
	w.run(2500 * time.Millisecond)
	must.True(t, w.nodes[0].core.Instance("i").GetDraining())
	must.True(t, w.nodes[1].core.Instance("i").GetDraining())
}

func TestAnnouncedInstanceIsNeverMarkedSilent(t *testing.T) {
	w := newNetwork(2, 19)
	b := w.announce("i", "e00")
	w.run(convergenceTime)
	w.partition(1)
	for _, draining := range []bool{true, false, true, false} {
		b.message.Draining = draining
		w.run(time.Second)
	}
	b.entry = "e01"
	b.reaches = func(entry string) bool { return entry == "e01" }
	w.run(5 * time.Second)
	must.False(t, w.nodes[0].core.Usable("i"))
	w.heal()
	for range 1000 {
		w.run(10 * time.Millisecond)
		must.True(t, w.nodes[1].core.Usable("i"))
	}
	must.True(t, w.nodes[0].core.Usable("i"))
}
