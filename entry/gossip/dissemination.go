package gossip

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Limits of what is sent and accepted.
const (
	MaxDatagramBytes = 1200
	headerBytes      = 28 + macBytes + 1 // IP, UDP and authentication
	maxNameBytes     = 64
	addressingBytes  = 2*maxNameBytes + 40 // names, epoch and sequence number of a datagram
	maxRelays        = 64
	overdraftBytes   = 4096 // how far high-priority datagrams may overdraw the budget
	maxRecords       = 64   // records accepted from one datagram
)

// priority is the balance of the budget, in bytes, that must remain after a
// datagram is sent. A negative one allows an overdraft.
type priority int

const (
	priorityHigh   priority = -overdraftBytes      // probes, acknowledgements and urgent updates
	priorityNormal priority = 0                    // anti-entropy
	priorityLow    priority = 2 * MaxDatagramBytes // other updates
)

// tokenBucket limits the send rate; a token is one byte.
type tokenBucket struct {
	rate, burst int
	tokens      float64
	filledAt    time.Duration
}

func newTokenBucket(rate, burst int) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, tokens: float64(burst)}
}

func (b *tokenBucket) spend(n int, now time.Duration, p priority) bool {
	b.tokens = min(float64(b.burst), b.tokens+float64(b.rate)*(now-b.filledAt).Seconds())
	b.filledAt = now
	if b.tokens-float64(n) < float64(p) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// updateQueue holds the updates that are still being disseminated, urgent ones
// separately.
type updateQueue struct {
	urgent, normal []string
	items          map[string]*queuedUpdate
	paused         bool // set while records from a pull are merged, which other hosts already have
}

// queuedUpdate is the dissemination state of one update.
type queuedUpdate struct {
	transmits int
	urgent    bool
}

func (q *updateQueue) add(key string, urgent bool) {
	if q.paused {
		return
	}
	if q.items == nil {
		q.items = map[string]*queuedUpdate{}
	}
	item := q.items[key]
	queued := item != nil && item.urgent == urgent
	q.items[key] = &queuedUpdate{urgent: urgent}
	if !queued {
		q.push(key, urgent)
	}
}

func (q *updateQueue) push(key string, urgent bool) {
	if urgent {
		q.urgent = append(q.urgent, key)
		return
	}
	q.normal = append(q.normal, key)
}

func (q *updateQueue) empty() bool { return len(q.items) == 0 }

// disseminateTick sends queued updates to a few random hosts. Urgent updates are
// sent separately, in small datagrams that may overdraw the budget, so that a
// drain takes effect in time while many other records change.
func (c *Core) disseminateTick() {
	targets := c.randomPeers(fanout, "")
	if c.updates.empty() || len(targets) == 0 {
		return
	}
	d := &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_NEWS}
	if keys := c.appendUpdates(d, &c.updates.urgent); len(keys) > 0 {
		c.disseminate(d, keys, targets, priorityHigh)
		return
	}
	c.disseminate(d, c.appendUpdates(d, &c.updates.normal), targets, priorityLow)
}

func (c *Core) disseminate(d *wire.GossipDatagram, keys, targets []string, p priority) {
	for _, name := range targets {
		if len(keys) > 0 && c.send(name, clone(d), p) {
			c.updates.countTransmits(keys)
		}
	}
	c.updates.requeue(keys, c.transmitLimit())
}

// piggyback appends updates to a datagram that is sent for another purpose.
func (c *Core) piggyback(d *wire.GossipDatagram) {
	if c.budget.tokens < float64(priorityLow)+MaxDatagramBytes {
		return
	}
	keys := c.appendUpdates(d, &c.updates.urgent, &c.updates.normal)
	c.updates.countTransmits(keys)
	c.updates.requeue(keys, c.transmitLimit())
}

func (c *Core) transmitLimit() int { return transmitBase + c.log2Hosts() }

// transmitLimit returns how often an update is sent. Urgent updates are sent more
// often, to reach every host in time despite packet loss.
func (i *queuedUpdate) transmitLimit(base int) int {
	if i.urgent {
		return urgentFactor * base
	}
	return base
}

// countDuplicate counts the receipt of a known record as one transmit, since
// other hosts are already disseminating it. Urgent updates are exempt.
func (q *updateQueue) countDuplicate(key string, limit int) {
	item := q.items[key]
	if item == nil || item.urgent {
		return
	}
	if item.transmits++; item.transmits >= limit {
		delete(q.items, key)
	}
}

// appendUpdates moves updates from the queues into the datagram until it is full
// and returns their keys.
func (c *Core) appendUpdates(d *wire.GossipDatagram, queues ...*[]string) []string {
	var keys []string
	available := MaxDatagramBytes - headerBytes - addressingBytes - proto.Size(d)
	taken := map[string]bool{}
	for _, queue := range queues {
		for len(*queue) > 0 {
			key := (*queue)[0]
			if c.updates.items[key] == nil || taken[key] {
				*queue = (*queue)[1:]
				continue
			}
			n := c.recordBytes(key)
			if n > available {
				break
			}
			*queue = (*queue)[1:]
			available -= n
			taken[key] = true
			if c.appendRecord(d, key) {
				keys = append(keys, key)
			} else {
				delete(c.updates.items, key)
			}
		}
	}
	return keys
}

func (q *updateQueue) countTransmits(keys []string) {
	for _, key := range keys {
		q.items[key].transmits++
	}
}

// requeue drops updates that reached their transmit limit and queues the others
// again.
func (q *updateQueue) requeue(keys []string, limit int) {
	for _, key := range keys {
		item := q.items[key]
		if item.transmits >= item.transmitLimit(limit) {
			delete(q.items, key)
			continue
		}
		q.push(key, item.urgent)
	}
}

// send queues a datagram to a known host if the budget allows it.
func (c *Core) send(name string, d *wire.GossipDatagram, p priority) bool {
	h := c.hosts[name]
	if h == nil {
		return false
	}
	return c.sendTo(name, h.record.GetPeersAddress(), d, p)
}

func (c *Core) sendTo(name, address string, d *wire.GossipDatagram, p priority) bool {
	d.From, d.To, d.Epoch = c.self.GetName(), name, c.self.GetEpoch()
	c.sequence++
	d.Sequence = c.sequence
	if !c.budget.spend(proto.Size(d)+headerBytes, c.now, p) {
		return false
	}
	c.out.Sends = append(c.out.Sends, Send{Address: address, Datagram: d})
	return true
}
