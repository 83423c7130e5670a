package gossip

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// maxRecordBytes limits the size of a record received from another host.
const maxRecordBytes = MaxInstanceBytes + maxNameBytes + 40

// Receive handles an authenticated datagram. Duplicates and datagrams from an
// earlier epoch of the sender change nothing.
func (c *Core) Receive(now time.Duration, d *wire.GossipDatagram) Output {
	c.now = max(c.now, now)
	if d.GetFrom() == "" || d.GetFrom() == c.self.GetName() || (d.GetTo() != "" && d.GetTo() != c.self.GetName()) {
		return c.takeOutput()
	}
	c.mergeSender(d)
	sender := c.hosts[d.GetFrom()]
	if sender == nil {
		return c.takeOutput()
	}
	if d.GetEpoch() != sender.record.GetEpoch() {
		c.correctEpoch(d, sender)
		return c.takeOutput()
	}
	if !sender.window.accept(d.GetSequence()) {
		return c.takeOutput()
	}
	stale := c.mergeRecords(d)
	c.dispatch(d, stale)
	return c.takeOutput()
}

// mergeSender merges the sender's own record, so that the sender is known before
// the rest of the datagram is handled.
func (c *Core) mergeSender(d *wire.GossipDatagram) {
	for _, r := range d.GetHosts() {
		if r.GetName() == d.GetFrom() && r.GetEpoch() == d.GetEpoch() {
			c.mergeHost(r)
		}
	}
}

// correctEpoch sends a restarted sender its known record, so that it adopts a
// later epoch. This is needed when the clock of the host was set back.
func (c *Core) correctEpoch(d *wire.GossipDatagram, sender *host) {
	if d.GetEpoch() > sender.record.GetEpoch() {
		return // the new record has not arrived yet
	}
	c.send(d.GetFrom(), &wire.GossipDatagram{
		Kind: wire.GossipKind_GOSSIP_RECORDS, Hosts: []*wire.GossipHost{sender.record, c.self},
	}, priorityNormal)
}

func (c *Core) mergeRecords(d *wire.GossipDatagram) (stale []string) {
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
		c.handlePing(d)
	case wire.GossipKind_GOSSIP_ACK:
		c.handleAck(d)
	case wire.GossipKind_GOSSIP_PING_REQUEST:
		c.handlePingRequest(d)
	case wire.GossipKind_GOSSIP_DIGEST:
		c.handleDigests(d)
	case wire.GossipKind_GOSSIP_SUMMARY:
		c.handleSummary(d)
	case wire.GossipKind_GOSSIP_RECORDS:
		c.handleRecords(d, stale)
	case wire.GossipKind_GOSSIP_NEWS:
	}
}

// Merge applies records that were pulled from another host. They are not
// disseminated, except for refutations of records about this host or owned by it.
func (c *Core) Merge(now time.Duration, hosts []*wire.GossipHost, instances []*wire.Instance) Output {
	c.now = max(c.now, now)
	c.updates.paused = true
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
	c.updates.paused = false
	c.mergeSelf(hosts, instances)
	return c.takeOutput()
}

func (c *Core) mergeSelf(hosts []*wire.GossipHost, instances []*wire.Instance) {
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
