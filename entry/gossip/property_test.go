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

// machine draws faults and changes and holds what must stay true.
type machine struct {
	w       *network
	t       *rapid.T
	left    map[string]uint64            // largest incarnation that left
	highest map[*gossip.Core]seenRecords // largest incarnation that each start of a host saw
	tape    []packet                     // datagrams to replay
	jumps   int
	starts  uint64
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
	return &machine{w: w, t: t, left: map[string]uint64{}, highest: map[*gossip.Core]seenRecords{}}
}

func (m *machine) host(t *rapid.T) *node {
	return m.w.nodes[rapid.IntRange(0, machineHosts-1).Draw(t, "host")]
}

func (m *machine) instance(t *rapid.T) *beat {
	return m.w.beats[fmt.Sprintf("i%d", rapid.IntRange(0, machineInstances-1).Draw(t, "instance"))]
}

// Run lets time pass.
func (m *machine) Run(t *rapid.T) {
	m.w.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
	if len(m.w.packets) > 0 && len(m.tape) < 200 {
		m.tape = append(m.tape, m.w.packets...)
	}
}

// Weather changes loss and duplication.
func (m *machine) Weather(t *rapid.T) {
	m.w.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
	m.w.dup = rapid.Float64Range(0, 0.3).Draw(t, "dup")
}

// Cut loses one direction between two hosts.
func (m *machine) Cut(t *rapid.T) {
	m.w.cut[link{m.host(t).name, m.host(t).name}] = true
}

// Partition cuts the hosts in two.
func (m *machine) Partition(t *rapid.T) {
	m.w.partition(rapid.IntRange(1, machineHosts-1).Draw(t, "at"))
}

// Heal mends every link.
func (m *machine) Heal(*rapid.T) { m.w.heal() }

// Crash stops a host; one always stays.
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

// Restart starts a host that lost its state, its clock perhaps gone back.
func (m *machine) Restart(t *rapid.T) {
	n := m.host(t)
	m.starts++ // no two starts of a host take the same epoch
	m.w.restart(n, 1000*rapid.Uint64Range(1, 100).Draw(t, "epoch")+m.starts)
}

// Jump moves one host's clock on.
func (m *machine) Jump(t *rapid.T) {
	if m.jumps == maxJumps {
		return
	}
	m.jumps++
	m.host(t).offset += time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second
}

// Drain sets whether an instance takes work.
func (m *machine) Drain(t *rapid.T) {
	m.instance(t).message.Draining = rapid.Bool().Draw(t, "draining")
}

// Move lets an instance announce to another host.
func (m *machine) Move(t *rapid.T) { m.instance(t).entry = m.host(t).name }

// Reincarnate restarts an instance, which says that it leaves if it can.
func (m *machine) Reincarnate(t *rapid.T) {
	b := m.instance(t)
	entry := m.w.byName[b.entry]
	if !entry.down && rapid.Bool().Draw(t, "says so") {
		out, err := entry.core.Withdraw(m.w.clock(entry), b.message.GetId(), b.message.GetIncarnation())
		must.NoError(t, err)
		m.w.carry(entry, out)
		m.left[b.message.GetId()] = b.message.GetIncarnation()
	}
	b.message.Incarnation++
	b.message.Sequence = 0
	b.message.Draining = false
}

// Replay sends old datagrams again.
func (m *machine) Replay(t *rapid.T) {
	if len(m.tape) == 0 {
		return
	}
	p := m.tape[rapid.IntRange(0, len(m.tape)-1).Draw(t, "packet")]
	if to := m.w.byName[p.to]; to != nil && !to.down {
		m.w.carry(to, to.core.Receive(m.w.clock(to), proto.Clone(p.data).(*wire.GossipDatagram)))
	}
}

// Check holds on every host after every step.
func (m *machine) Check(t *rapid.T) {
	for _, n := range m.w.nodes {
		seen := m.highest[n.core]
		if seen == nil {
			seen = seenRecords{}
			m.highest[n.core] = seen
		}
		for _, id := range m.w.ids() {
			m.checkRecord(t, n, seen, id)
		}
		must.LessEq(t, int(3072*(m.w.now+time.Second).Seconds())+(2*3072+4096)*(2+len(m.highest)), n.sent)
	}
}

func (m *machine) checkRecord(t *rapid.T, n *node, seen seenRecords, id string) {
	now, before := n.core.Instance(id), seen[id]
	if before != nil {
		must.NotNil(t, now)
		must.GreaterEq(t, before.GetIncarnation(), now.GetIncarnation())
		if before.GetLeft() && now.GetIncarnation() == before.GetIncarnation() {
			must.True(t, now.GetLeft(), must.Sprintf("%s resurrected %s", n.name, id))
		}
	}
	seen[id] = now
}

// converge heals everything and holds the end state against the truth.
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
	must.NoError(m.t, m.w.settled())
	for _, id := range m.w.ids() {
		b := m.w.beats[id]
		for _, n := range m.w.nodes {
			got := n.core.Instance(id)
			must.Eq(m.t, b.message.GetIncarnation(), got.GetIncarnation())
			must.Eq(m.t, b.message.GetDraining(), got.GetDraining(), must.Sprintf("%s of %s at %s", id, n.name, b.entry))
		}
	}
	for _, id := range m.w.ids() {
		b := m.w.beats[id]
		delete(m.w.beats, id)
		entry := m.w.byName[b.entry]
		out, err := entry.core.Withdraw(m.w.clock(entry), id, b.message.GetIncarnation())
		must.NoError(m.t, err)
		m.w.carry(entry, out)
	}
	m.w.run(2 * time.Second)
	for _, n := range m.w.nodes {
		must.SliceEmpty(m.t, n.core.Instances())
	}
}

func TestAnyScheduleConvergesAndNothingComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.Check, "run": m.Run, "run again": m.Run, "weather": m.Weather, "cut": m.Cut, "partition": m.Partition,
			"heal": m.Heal, "crash": m.Crash, "restart": m.Restart, "jump": m.Jump, "drain": m.Drain,
			"move": m.Move, "reincarnate": m.Reincarnate, "replay": m.Replay,
		})
		m.converge()
	})
}

func TestHostThatSomeReachIsNeverCalledDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(8, rapid.Uint64().Draw(t, "seed"))
		w.run(settleTime)
		must.NoError(t, w.settled())
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
