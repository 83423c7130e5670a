package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/gossip"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// machine applies random faults and changes and checks the invariants.
type machine struct {
	w        *network
	t        *rapid.T
	left     map[string]uint64            // largest withdrawn incarnation of each instance
	lastSeen map[*gossip.Core]seenRecords // last record of each instance, for each start of a host
	recorded []packet                     // recorded datagrams to replay
	jumps    int
	starts   uint64
}

type seenRecords map[string]*wire.Instance

const (
	machineHosts     = 6
	machineInstances = 4
	maxJumps         = 2
)

func newMachine(t *rapid.T) *machine {
	w := newNetwork(machineHosts, rapid.Uint64().Draw(t, "seed"))
	for n := range machineInstances {
		w.announce(fmt.Sprintf("i%d", n), w.nodes[n%machineHosts].name)
	}
	return &machine{w: w, t: t, left: map[string]uint64{}, lastSeen: map[*gossip.Core]seenRecords{}}
}

func (m *machine) host(t *rapid.T) *node {
	return m.w.nodes[rapid.IntRange(0, machineHosts-1).Draw(t, "host")]
}

func (m *machine) instance(t *rapid.T) *announcer {
	return m.w.announcers[fmt.Sprintf("i%d", rapid.IntRange(0, machineInstances-1).Draw(t, "instance"))]
}

// Run advances virtual time.
func (m *machine) Run(t *rapid.T) {
	m.w.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
	if len(m.w.packets) > 0 && len(m.recorded) < 200 {
		m.recorded = append(m.recorded, m.w.packets...)
	}
}

// SetLoss changes the rates of packet loss and duplication.
func (m *machine) SetLoss(t *rapid.T) {
	m.w.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
	m.w.dup = rapid.Float64Range(0, 0.3).Draw(t, "dup")
}

// Cut drops all datagrams in one direction between two hosts.
func (m *machine) Cut(t *rapid.T) {
	m.w.cut[link{m.host(t).name, m.host(t).name}] = true
}

// Partition splits the hosts into two groups.
func (m *machine) Partition(t *rapid.T) {
	m.w.partition(rapid.IntRange(1, machineHosts-1).Draw(t, "at"))
}

// Heal restores all links.
func (m *machine) Heal(*rapid.T) { m.w.heal() }

// Crash stops a host, unless at most two are running.
func (m *machine) Crash(t *rapid.T) {
	up := 0
	for _, n := range m.w.nodes {
		if !n.down {
			up++
		}
	}
	if up > 2 {
		m.host(t).down = true
	}
}

// Restart starts a host without its previous state, with its clock possibly set
// back.
func (m *machine) Restart(t *rapid.T) {
	n := m.host(t)
	m.starts++ // makes the epoch of each start unique
	m.w.restart(n, 1000*rapid.Uint64Range(1, 100).Draw(t, "epoch")+m.starts)
}

// Jump sets the clock of one host forward.
func (m *machine) Jump(t *rapid.T) {
	if m.jumps == maxJumps {
		return
	}
	m.jumps++
	m.host(t).offset += time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second
}

// Drain sets whether an instance is draining.
func (m *machine) Drain(t *rapid.T) {
	m.instance(t).message.Draining = rapid.Bool().Draw(t, "draining")
}

// Move makes an instance announce itself to another host.
func (m *machine) Move(t *rapid.T) { m.instance(t).entry = m.host(t).name }

// Reincarnate restarts an instance, which may withdraw first if its entry host is
// up.
func (m *machine) Reincarnate(t *rapid.T) {
	b := m.instance(t)
	entry := m.w.byName[b.entry]
	if !entry.down && rapid.Bool().Draw(t, "withdraws") {
		out, err := entry.core.Withdraw(m.w.clock(entry), b.message.GetId(), b.message.GetIncarnation())
		must.NoError(t, err)
		m.w.apply(entry, out)
		m.left[b.message.GetId()] = b.message.GetIncarnation()
	}
	b.message.Incarnation++
	b.message.Sequence = 0
	b.message.Draining = false
}

// Replay delivers a recorded datagram again.
func (m *machine) Replay(t *rapid.T) {
	if len(m.recorded) == 0 {
		return
	}
	p := m.recorded[rapid.IntRange(0, len(m.recorded)-1).Draw(t, "packet")]
	if to := m.w.byName[p.to]; to != nil && !to.down {
		m.w.apply(to, to.core.Receive(m.w.clock(to), proto.Clone(p.data).(*wire.GossipDatagram)))
	}
}

// Check verifies the invariants on every host after each step.
func (m *machine) Check(t *rapid.T) {
	for _, n := range m.w.nodes {
		seen := m.lastSeen[n.core]
		if seen == nil {
			seen = seenRecords{}
			m.lastSeen[n.core] = seen
		}
		for _, id := range m.w.ids() {
			m.checkRecord(t, n, seen, id)
		}
		must.LessEq(t, int(3072*(m.w.now+time.Second).Seconds())+(2*3072+4096)*(2+len(m.lastSeen)), n.sent)
	}
}

func (m *machine) checkRecord(t *rapid.T, n *node, seen seenRecords, id string) {
	now, before := n.core.Instance(id), seen[id]
	if before != nil {
		must.NotNil(t, now)
		must.GreaterEq(t, before.GetIncarnation(), now.GetIncarnation())
		if before.GetLeft() && now.GetIncarnation() == before.GetIncarnation() {
			must.True(t, now.GetLeft(), must.Sprintf("%s resurrected withdrawn instance %s", n.name, id))
		}
	}
	seen[id] = now
}

// converge removes all faults and compares the final state of every host with the
// announcements.
func (m *machine) converge() {
	m.w.heal()
	m.w.loss, m.w.dup = 0.02, 0
	for _, n := range m.w.nodes {
		if n.down {
			m.starts++
			m.w.restart(n, n.epoch+m.starts)
		}
	}
	m.w.run(60 * time.Second)
	must.NoError(m.t, m.w.converged())
	for _, id := range m.w.ids() {
		b := m.w.announcers[id]
		for _, n := range m.w.nodes {
			got := n.core.Instance(id)
			must.Eq(m.t, b.message.GetIncarnation(), got.GetIncarnation())
			must.Eq(m.t, b.message.GetDraining(), got.GetDraining(), must.Sprintf("%s of %s at %s", id, n.name, b.entry))
		}
	}
	for _, id := range m.w.ids() {
		b := m.w.announcers[id]
		delete(m.w.announcers, id)
		entry := m.w.byName[b.entry]
		out, err := entry.core.Withdraw(m.w.clock(entry), id, b.message.GetIncarnation())
		must.NoError(m.t, err)
		m.w.apply(entry, out)
	}
	m.w.run(2 * time.Second)
	for _, n := range m.w.nodes {
		must.SliceEmpty(m.t, n.core.Instances())
	}
}

func TestAnyScheduleConvergesWithoutResurrection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.Check, "run": m.Run, "run again": m.Run, "weather": m.SetLoss, "cut": m.Cut, "partition": m.Partition,
			"heal": m.Heal, "crash": m.Crash, "restart": m.Restart, "jump": m.Jump, "drain": m.Drain,
			"move": m.Move, "reincarnate": m.Reincarnate, "replay": m.Replay,
		})
		m.converge()
	})
}

func TestHostThatSomeReachIsNeverMarkedDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(8, rapid.Uint64().Draw(t, "seed"))
		w.run(convergenceTime)
		must.NoError(t, w.converged())
		w.loss = 0.02
		for range 3 {
			a, b := rapid.IntRange(0, 7).Draw(t, "a"), rapid.IntRange(0, 7).Draw(t, "b")
			w.cut[link{w.nodes[a].name, w.nodes[b].name}] = true
		}
		for range 30 {
			w.run(time.Second)
			for _, n := range w.nodes {
				must.Len(t, 8, n.core.Hosts())
			}
		}
	})
}
