// Package membership simulates the gossip protocol of many entry hosts in virtual
// time, without sockets, to measure how its bandwidth and convergence time grow
// with the number of hosts and instances.
//
// Usage:
//
//	g := membership.New(464, 3900, 1)
//	g.Run(20 * time.Second)
//	bytes := g.BytesPerSecond(10 * time.Second)
//	took := g.Drain(7)
package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snipebeam/snipebeam/entry/gossip"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

const (
	step              = 10 * time.Millisecond
	maxLatencyMs      = 3
	overheadBytes     = 45 // IP, UDP and authentication
	heartbeatInterval = time.Second
	drainLimit        = 20 * time.Second
)

// Group is a set of simulated entry hosts, all members of one cluster from the
// start.
type Group struct {
	random    *rand.Rand
	now       time.Duration
	loss      float64
	cores     []*gossip.Core
	byName    map[string]int
	packets   packets
	sent      int
	instances []*wire.Instance
}

// New returns a group in which every host starts with the records of all hosts
// and instances.
func New(hosts, instances int, seed uint64) *Group {
	g := &Group{random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]int{}}
	var all []*wire.GossipHost
	for n := range hosts {
		name := fmt.Sprintf("entry-%d", n)
		g.byName[name] = n
		all = append(all, &wire.GossipHost{
			Name: name, Epoch: 1, Revision: 1, Zone: "shawinigan", State: "ready", CallersAddress: "10.20.30.40:7200",
			PeersAddress: name, PlatformAddress: "10.20.30.40:7201",
		})
	}
	for n := range instances {
		g.instances = append(g.instances, &wire.Instance{
			Id: fmt.Sprintf("instance-%d", n), Service: fmt.Sprintf("service-%d", n%140), Address: "10.20.30.41:9001",
			Zone: "shawinigan", Slots: 3, Incarnation: 1, HeardBy: all[n%hosts].Name, Revision: 1,
		})
	}
	for n := range hosts {
		core := gossip.New(all[n], rand.New(rand.NewPCG(seed, uint64(n))))
		core.Merge(0, all, g.instances)
		g.cores = append(g.cores, core)
	}
	return g
}

// SetLoss sets the share of datagrams that are dropped from now on.
func (g *Group) SetLoss(share float64) { g.loss = share }

// Run advances virtual time.
func (g *Group) Run(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.now += step
		g.deliver()
		for n, core := range g.cores {
			if (g.now/step+time.Duration(n))%(gossip.TickInterval/step) == 0 {
				g.transmit(core.Tick(g.now))
			}
		}
		g.renewLeases()
	}
}

// renewLeases announces a part of the instances in each step, so that each
// instance renews its lease once per heartbeatInterval.
func (g *Group) renewLeases() {
	steps := int(heartbeatInterval / step)
	for n := int(g.now/step) % steps; n < len(g.instances); n += steps {
		g.announce(n)
	}
}

func (g *Group) announce(n int) {
	out, err := g.cores[n%len(g.cores)].Announce(g.now, g.instances[n])
	if err == nil {
		g.transmit(out)
	}
}

// transmit queues the datagrams of an output with a random latency, except those
// that are dropped.
func (g *Group) transmit(out gossip.Output) {
	for _, send := range out.Sends {
		g.sent += proto.Size(send.Datagram) + overheadBytes
		if g.random.Float64() < g.loss {
			continue
		}
		delay := time.Duration(1+g.random.IntN(maxLatencyMs)) * time.Millisecond
		heap.Push(&g.packets, packet{at: g.now + delay, send: send})
	}
}

func (g *Group) deliver() {
	for len(g.packets) > 0 && g.packets[0].at <= g.now {
		p := heap.Pop(&g.packets).(packet)
		if to, ok := g.byName[p.send.Address]; ok {
			g.transmit(g.cores[to].Receive(g.now, p.send.Datagram))
		}
	}
}

// BytesPerSecond runs the group for a time and returns the mean bytes per second
// that a host sends and receives.
func (g *Group) BytesPerSecond(d time.Duration) float64 {
	before := g.sent
	g.Run(d)
	return 2 * float64(g.sent-before) / float64(len(g.cores)) / d.Seconds()
}

// Drain sets an instance to draining and returns the time until all hosts have
// the change, at most drainLimit.
func (g *Group) Drain(n int) time.Duration {
	next := proto.Clone(g.instances[n]).(*wire.Instance)
	next.Draining = true
	g.instances[n] = next
	start := g.now
	g.announce(n)
	for g.now-start < drainLimit && !g.drainSeen(next.GetId()) {
		g.Run(5 * step)
	}
	return g.now - start
}

func (g *Group) drainSeen(id string) bool {
	for _, core := range g.cores {
		if !core.Instance(id).GetDraining() {
			return false
		}
	}
	return true
}

// packet is a datagram in flight and the time of its delivery.
type packet struct {
	at   time.Duration
	send gossip.Send
}

type packets []packet

// Len implements heap.Interface.
func (p packets) Len() int { return len(p) }

// Less implements heap.Interface.
func (p packets) Less(i, j int) bool { return p[i].at < p[j].at }

// Swap implements heap.Interface.
func (p packets) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push implements heap.Interface.
func (p *packets) Push(x any) { *p = append(*p, x.(packet)) }

// Pop implements heap.Interface.
func (p *packets) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}
