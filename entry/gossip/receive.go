package gossip

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// maxRecordBytes bounds one record that another host passed on.
const maxRecordBytes = MaxInstanceBytes + maxNameBytes + 40

// Receive takes a datagram whose sender was authenticated. A datagram that was
// seen before, or of an earlier start of the sender, changes nothing.
func (c *Core) Receive(now time.Duration, d *wire.GossipDatagram) Output {
	c.now = max(c.now, now)
	if d.GetFrom() == "" || d.GetFrom() == c.self.GetName() || (d.GetTo() != "" && d.GetTo() != c.self.GetName()) {
		return c.take()
	}
	c.introduce(d)
	sender := c.hosts[d.GetFrom()]
	if sender == nil {
		return c.take()
	}
	if d.GetEpoch() != sender.record.GetEpoch() {
		c.correct(d, sender)
		return c.take()
	}
	if !sender.window.accept(d.GetSequence()) {
		return c.take()
	}
	stale := c.takeRecords(d)
	c.dispatch(d, stale)
	return c.take()
}

// introduce takes a sender's word of itself before anything else.
func (c *Core) introduce(d *wire.GossipDatagram) {
	for _, r := range d.GetHosts() {
		if r.GetName() == d.GetFrom() && r.GetEpoch() == d.GetEpoch() {
			c.mergeHost(r)
		}
	}
}

// correct tells a sender that started again what is known of its last start,
// so that it takes a later epoch. A host whose clock went back needs this.
func (c *Core) correct(d *wire.GossipDatagram, sender *host) {
	if d.GetEpoch() > sender.record.GetEpoch() {
		return // its record is on the way
	}
	c.send(d.GetFrom(), &wire.GossipDatagram{
		Kind: wire.GossipKind_GOSSIP_RECORDS, Hosts: []*wire.GossipHost{sender.record, c.self},
	}, exchange)
}

func (c *Core) takeRecords(d *wire.GossipDatagram) (stale []string) {
	if len(d.GetHosts())+len(d.GetInstances()) > maxRecords {
		return nil
	}
	for _, r := range d.GetHosts() {
		if c.mergeHost(r) {
			stale = append(stale, hostKey(r.GetName()))
		}
	}
	for _, m := range d.GetInstances() {
		if c.mergeInstance(m) {
			stale = append(stale, instanceKey(m.GetId()))
		}
	}
	return stale
}

func (c *Core) dispatch(d *wire.GossipDatagram, stale []string) {
	switch d.GetKind() {
	case wire.GossipKind_GOSSIP_PING:
		c.pinged(d)
	case wire.GossipKind_GOSSIP_ACK:
		c.acked(d)
	case wire.GossipKind_GOSSIP_PING_REQUEST:
		c.pingRequested(d)
	case wire.GossipKind_GOSSIP_DIGEST:
		c.compared(d)
	case wire.GossipKind_GOSSIP_SUMMARY:
		c.summarized(d)
	case wire.GossipKind_GOSSIP_RECORDS:
		c.exchanged(d, stale)
	case wire.GossipKind_GOSSIP_NEWS:
	}
}

// Merge takes records that were fetched whole from another host. They are not
// passed on, but for answers to what was said of this host.
func (c *Core) Merge(now time.Duration, hosts []*wire.GossipHost, instances []*wire.Instance) Output {
	c.now = max(c.now, now)
	c.news.quiet = true
	for _, r := range hosts {
		if r.GetName() != c.self.GetName() {
			c.mergeHost(r)
		}
	}
	for _, m := range instances {
		if m.GetHeardBy() != c.self.GetName() {
			c.mergeInstance(m)
		}
	}
	c.news.quiet = false
	c.mergeOwn(hosts, instances)
	return c.take()
}

func (c *Core) mergeOwn(hosts []*wire.GossipHost, instances []*wire.Instance) {
	for _, r := range hosts {
		if r.GetName() == c.self.GetName() {
			c.mergeHost(r)
		}
	}
	for _, m := range instances {
		if m.GetHeardBy() == c.self.GetName() {
			c.mergeInstance(m)
		}
	}
}
