package gossip

import (
	"slices"
	"sort"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// probe is one host's turn to show that it lives.
type probe struct {
	target   string
	sentAt   time.Duration
	indirect bool
}

// relay is a probe that this host makes for another one.
type relay struct {
	origin string
	nonce  uint64
	until  time.Duration
}

// probeTick ends probes that went unanswered and starts the next one.
func (c *Core) probeTick() {
	for _, nonce := range sortedNonces(c.probes) {
		c.advanceProbe(nonce, c.probes[nonce])
	}
	for nonce, r := range c.relays {
		if c.now > r.until {
			delete(c.relays, nonce)
		}
	}
	if c.now < c.nextProbe {
		return
	}
	c.nextProbe = c.now + probeInterval
	if name := c.nextTarget(); name != "" {
		nonce := c.random.Uint64()
		c.probes[nonce] = &probe{target: name, sentAt: c.now}
		c.ping(name, nonce)
	}
}

func sortedNonces(probes map[uint64]*probe) []uint64 {
	all := make([]uint64, 0, len(probes))
	for nonce := range probes {
		all = append(all, nonce)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

func (c *Core) advanceProbe(nonce uint64, p *probe) {
	age := c.now - p.sentAt
	switch {
	case age >= probeInterval:
		delete(c.probes, nonce)
		if h := c.hosts[p.target]; h != nil && h.record.GetStatus() == wire.HostStatus_HOST_ALIVE {
			c.mark(h, wire.HostStatus_HOST_SUSPECT)
		}
	case age >= directTimeout && !p.indirect:
		p.indirect = true
		for _, name := range c.pick(indirectProbes, p.target) {
			c.send(name, &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_PING_REQUEST, Nonce: nonce, Target: p.target}, essential)
		}
	}
}

// ping introduces this host, since the other one may not know it yet, and tells
// a suspect host of the suspicion, so that it can refute.
func (c *Core) ping(name string, nonce uint64) {
	d := &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_PING, Nonce: nonce, Hosts: []*wire.GossipHost{c.self}}
	if h := c.hosts[name]; h.record.GetStatus() != wire.HostStatus_HOST_ALIVE {
		d.Hosts = append(d.Hosts, h.record)
	}
	c.piggyback(d)
	c.send(name, d, essential)
}

// nextTarget goes through all hosts in a shuffled order before any is probed
// again.
func (c *Core) nextTarget() string {
	for range 2 {
		for len(c.ring) > 0 {
			name := c.ring[len(c.ring)-1]
			c.ring = c.ring[:len(c.ring)-1]
			if c.alive(name) {
				return name
			}
		}
		c.ring = slices.Clone(c.others())
		c.random.Shuffle(len(c.ring), func(i, j int) { c.ring[i], c.ring[j] = c.ring[j], c.ring[i] })
	}
	return ""
}

// others returns the other live hosts in order of names.
func (c *Core) others() []string {
	if c.live != nil {
		return c.live
	}
	c.live = make([]string, 0, len(c.hosts))
	for name, h := range c.hosts {
		if h.reachable() && name != c.self.GetName() {
			c.live = append(c.live, name)
		}
	}
	sort.Strings(c.live)
	return c.live
}

// pick returns up to n other live hosts at random.
func (c *Core) pick(n int, except string) []string {
	all := c.others()
	var picked []string
	for _, at := range c.random.Perm(len(all)) {
		if len(picked) == n {
			break
		}
		if all[at] != except {
			picked = append(picked, all[at])
		}
	}
	return picked
}

func (c *Core) pinged(d *wire.GossipDatagram) {
	answer := &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_ACK, Nonce: d.GetNonce()}
	if h := c.hosts[d.GetFrom()]; h.record.GetStatus() != wire.HostStatus_HOST_ALIVE {
		answer.Hosts = append(answer.Hosts, h.record)
	}
	if d.GetTo() == "" {
		answer.Hosts = append(answer.Hosts, c.self)
	}
	c.piggyback(answer)
	c.send(d.GetFrom(), answer, essential)
}

func (c *Core) pingRequested(d *wire.GossipDatagram) {
	if !c.alive(d.GetTarget()) || len(c.relays) >= maxRelays {
		return
	}
	nonce := c.random.Uint64()
	c.relays[nonce] = relay{origin: d.GetFrom(), nonce: d.GetNonce(), until: c.now + probeInterval}
	c.ping(d.GetTarget(), nonce)
}

func (c *Core) acked(d *wire.GossipDatagram) {
	if r, ok := c.relays[d.GetNonce()]; ok {
		delete(c.relays, d.GetNonce())
		c.send(r.origin, &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_ACK, Nonce: r.nonce}, essential)
		return
	}
	delete(c.probes, d.GetNonce())
}
