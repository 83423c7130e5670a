package gossip_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/snipebeam/snipebeam/entry/gossip"
	"github.com/snipebeam/snipebeam/world/testseed"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

// link is one direction of traffic between two hosts.
type link struct{ from, to string }

// node is one simulated host with its own clock.
type node struct {
	name   string
	core   *gossip.Core
	offset time.Duration
	epoch  uint64
	down   bool
	paused bool
	sent   int
}

type packet struct {
	at   time.Duration
	n    int
	from string
	to   string
	data *wire.GossipDatagram
}

// network simulates the delivery of datagrams between cores in virtual time.
type network struct {
	random     *rand.Rand
	now        time.Duration
	nodes      []*node
	byName     map[string]*node
	packets    []packet
	count      int
	cut        map[link]bool
	loss, dup  float64
	connects   map[string]bool // instances that accept connections
	announcers map[string]*announcer
	pulls      bool
}

// announcer is one instance that announces itself every 500 ms.
type announcer struct {
	message *wire.Instance
	entry   string
	reaches func(entry string) bool
}

func newNetwork(hosts int, seed uint64, opts ...gossip.Option) *network {
	w := &network{
		random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*node{}, cut: map[link]bool{},
		connects: map[string]bool{}, announcers: map[string]*announcer{}, pulls: true,
	}
	for n := range hosts {
		one := &node{name: fmt.Sprintf("e%02d", n), offset: time.Duration(w.random.IntN(1e6)) * time.Millisecond, epoch: 1}
		w.nodes = append(w.nodes, one)
		w.byName[one.name] = one
		w.boot(one, opts...)
	}
	return w
}

func (w *network) boot(n *node, opts ...gossip.Option) {
	self := &wire.GossipHost{Name: n.name, Epoch: n.epoch, PeersAddress: n.name, State: "ready", Zone: "z"}
	n.core = gossip.New(self, rand.New(rand.NewPCG(w.random.Uint64(), 2)), opts...)
	n.core.Tick(w.clock(n))
	w.seed(n)
}

// seed joins a host to the first two hosts.
func (w *network) seed(n *node) {
	var seeds []*wire.GossipHost
	for _, other := range w.nodes[:min(2, len(w.nodes))] {
		seeds = append(seeds, &wire.GossipHost{Name: other.name, PeersAddress: other.name})
	}
	w.apply(n, n.core.Join(w.clock(n), seeds))
}

// reseed repeats the join of every running host, as the control hosts do with each
// response.
func (w *network) reseed() {
	for _, n := range w.nodes {
		if !n.down && !n.paused {
			w.seed(n)
		}
	}
}

// restart starts a host without its previous state, with an epoch from its clock.
func (w *network) restart(n *node, epoch uint64) {
	n.epoch, n.down, n.paused = epoch, false, false
	w.boot(n)
}

func (w *network) clock(n *node) time.Duration { return w.now + n.offset }

func (w *network) apply(n *node, out gossip.Output) {
	for _, send := range out.Sends {
		size := proto.Size(send.Datagram) + 45
		n.sent += size
		if size > gossip.MaxDatagramBytes+28 {
			panic(fmt.Sprintf("datagram of %d bytes", size))
		}
		copies := 1
		if w.random.Float64() < w.dup {
			copies = 2
		}
		for range copies {
			if w.random.Float64() < w.loss {
				continue
			}
			w.count++
			delay := time.Duration(1+w.random.IntN(20)) * time.Millisecond
			w.packets = append(w.packets, packet{at: w.now + delay, n: w.count, from: n.name, to: send.Address, data: proto.Clone(send.Datagram).(*wire.GossipDatagram)})
		}
	}
	if out.Pull != "" && w.pulls && w.open(n.name, out.Pull) && w.open(out.Pull, n.name) {
		w.pull(n, w.byName[out.Pull])
	}
	for _, one := range out.Checks {
		w.apply(n, n.core.ReportCheck(w.clock(n), one, w.connects[one.GetId()]))
	}
}

func (w *network) pull(n, from *node) {
	after := ""
	for {
		hosts, instances, next := from.core.RecordsAfter(after)
		w.apply(n, n.core.Merge(w.clock(n), hosts, instances))
		if after = next; after == "" {
			return
		}
	}
}

func (w *network) open(from, to string) bool {
	a, b := w.byName[from], w.byName[to]
	return b != nil && !a.down && !b.down && !b.paused && !w.cut[link{from, to}]
}

// run advances virtual time by d.
func (w *network) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 10 * time.Millisecond
		w.deliver()
		for n, one := range w.nodes {
			phase := time.Duration(n%10) * 10 * time.Millisecond
			if !one.down && !one.paused && (w.now+phase)%gossip.TickInterval == 0 {
				w.apply(one, one.core.Tick(w.clock(one)))
			}
		}
		if w.now%(500*time.Millisecond) == 0 {
			w.announceAll()
		}
		if w.now%(5*time.Second) == 0 {
			w.reseed()
		}
	}
}

func (w *network) deliver() {
	sort.Slice(w.packets, func(i, j int) bool {
		if w.packets[i].at != w.packets[j].at {
			return w.packets[i].at < w.packets[j].at
		}
		return w.packets[i].n < w.packets[j].n
	})
	for len(w.packets) > 0 && w.packets[0].at <= w.now {
		p := w.packets[0]
		w.packets = w.packets[1:]
		if to := w.byName[p.to]; to != nil && w.open(p.from, p.to) {
			w.apply(to, to.core.Receive(w.clock(to), p.data))
		}
	}
}

// announceAll renews the lease of each instance at its entry host. An instance
// whose entry host is unreachable moves to a random one.
func (w *network) announceAll() {
	for _, id := range w.ids() {
		b := w.announcers[id]
		entry := w.byName[b.entry]
		if entry.down || entry.paused || (b.reaches != nil && !b.reaches(b.entry)) {
			b.entry = w.nodes[w.random.IntN(len(w.nodes))].name
			continue
		}
		b.message.Sequence++
		out, _ := entry.core.Announce(w.clock(entry), proto.Clone(b.message).(*wire.Instance))
		w.apply(entry, out)
	}
}

func (w *network) ids() []string { return slices.Sorted(maps.Keys(w.announcers)) }

func (w *network) announce(id, entry string) *announcer {
	b := &announcer{entry: entry, message: &wire.Instance{Id: id, Service: "catalogue", Address: "127.0.0.1:9000", Zone: "z", Slots: 3, Incarnation: 1}}
	w.announcers[id] = b
	w.connects[id] = true
	return b
}

// partition separates the first n hosts from the others.
func (w *network) partition(n int) {
	for i, a := range w.nodes {
		for j, b := range w.nodes {
			if (i < n) != (j < n) {
				w.cut[link{a.name, b.name}] = true
			}
		}
	}
}

func (w *network) heal() { w.cut = map[link]bool{} }

// converged returns an error if the view of some running host is incomplete or
// wrong.
func (w *network) converged() error {
	for _, one := range w.nodes {
		if one.down {
			continue
		}
		if err := w.sameHosts(one); err != nil {
			return err
		}
		for _, id := range w.ids() {
			if !one.core.Usable(id) {
				return fmt.Errorf("%s has no live record of %s: %v", one.name, id, one.core.Instance(id))
			}
		}
	}
	return nil
}

func (w *network) sameHosts(one *node) error {
	known := map[string]bool{}
	for _, h := range one.core.Hosts() {
		if h.GetStatus() == wire.HostStatus_HOST_ALIVE {
			known[h.GetName()] = true
		}
	}
	for _, other := range w.nodes {
		if other.down == known[other.name] {
			return fmt.Errorf("%s: %s down=%v, alive here=%v; records here %v; its own records %v", one.name, other.name, other.down, known[other.name], records(one), records(other))
		}
	}
	return nil
}

// timeUntil returns how long it takes until the condition is true on all running
// hosts, at most limit.
func (w *network) timeUntil(limit time.Duration, condition func(*node) bool) time.Duration {
	start := w.now
	for w.now-start < limit {
		all := true
		for _, one := range w.nodes {
			all = all && (one.down || condition(one))
		}
		if all {
			break
		}
		w.run(50 * time.Millisecond)
	}
	return w.now - start
}

func records(n *node) []*wire.GossipHost {
	hosts, _, _ := n.core.RecordsAfter("")
	return hosts
}
