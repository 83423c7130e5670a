package gossip

import (
	"slices"
	"sort"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// probe is an outstanding liveness probe of one host.
type probe struct {
	target   string
	sentAt   time.Duration
	indirect bool
}

// relay is an indirect probe made on behalf of another host.
type relay struct {
	origin string
	nonce  uint64
	until  time.Duration
}

// probeTick advances outstanding probes, expires relays and starts the next
// probe.
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
			c.setStatus(h, wire.HostStatus_HOST_SUSPECT)
		}
	case age >= directTimeout && !p.indirect:
		p.indirect = true
		for _, name := range c.randomPeers(indirectProbes, p.target) {
			c.send(name, &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_PING_REQUEST, Nonce: nonce, Target: p.target}, priorityHigh)
		}
	}
}

// ping sends a ping with the record of this host, which the target may not have
// yet. A target that is not alive also gets its own record, so that it can refute
// it.
func (c *Core) ping(name string, nonce uint64) {
	d := &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_PING, Nonce: nonce, Hosts: []*wire.GossipHost{c.self}}
	if h := c.hosts[name]; h.record.GetStatus() != wire.HostStatus_HOST_ALIVE {
		d.Hosts = append(d.Hosts, h.record)
	}
	c.piggyback(d)
	c.send(name, d, priorityHigh)
}

// nextTarget returns the next probe target. All hosts are probed once in shuffled
// order before any is probed again.
func (c *Core) nextTarget() string {
	for range 2 {
		for len(c.probeOrder) > 0 {
			name := c.probeOrder[len(c.probeOrder)-1]
			c.probeOrder = c.probeOrder[:len(c.probeOrder)-1]
			if c.alive(name) {
				return name
			}
		}
		c.probeOrder = slices.Clone(c.peers())
		c.random.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
	}
	return ""
}

// peers returns the names of the other hosts that are alive or suspect, sorted.
func (c *Core) peers() []string {
	if c.livePeers != nil {
		return c.livePeers
	}
	c.livePeers = make([]string, 0, len(c.hosts))
	for name, h := range c.hosts {
		if h.reachable() && name != c.self.GetName() {
			c.livePeers = append(c.livePeers, name)
		}
	}
	sort.Strings(c.livePeers)
	return c.livePeers
}

// randomPeers returns up to n random peers other than except.
func (c *Core) randomPeers(n int, except string) []string {
	all := c.peers()
	var picked []string
	for _, i := range c.random.Perm(len(all)) {
		if len(picked) == n {
			break
		}
		if all[i] != except {
			picked = append(picked, all[i])
		}
	}
	return picked
}

func (c *Core) handlePing(d *wire.GossipDatagram) {
	reply := &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_ACK, Nonce: d.GetNonce()}
	if h := c.hosts[d.GetFrom()]; h.record.GetStatus() != wire.HostStatus_HOST_ALIVE {
		reply.Hosts = append(reply.Hosts, h.record)
	}
	if d.GetTo() == "" {
		reply.Hosts = append(reply.Hosts, c.self)
	}
	c.piggyback(reply)
	c.send(d.GetFrom(), reply, priorityHigh)
}

func (c *Core) handlePingRequest(d *wire.GossipDatagram) {
	if !c.alive(d.GetTarget()) || len(c.relays) >= maxRelays {
		return
	}
	nonce := c.random.Uint64()
	c.relays[nonce] = relay{origin: d.GetFrom(), nonce: d.GetNonce(), until: c.now + probeInterval}
	c.ping(d.GetTarget(), nonce)
}

func (c *Core) handleAck(d *wire.GossipDatagram) {
	if r, ok := c.relays[d.GetNonce()]; ok {
		delete(c.relays, d.GetNonce())
		c.send(r.origin, &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_ACK, Nonce: r.nonce}, priorityHigh)
		return
	}
	delete(c.probes, d.GetNonce())
}
