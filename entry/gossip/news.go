package gossip

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Bounds of what is sent and taken.
const (
	MaxDatagramBytes = 1200
	headerBytes      = 28 + macBytes + 1 // IP, UDP and authentication
	maxNameBytes     = 64
	addressingBytes  = 2*maxNameBytes + 40 // names and numbers of a datagram
	maxRelays        = 64
	debtBytes        = 4096 // how far probes and answers may overdraw the budget
	maxRecords       = 64   // records taken from one datagram
)

// urgency is how far a datagram may run the budget down, in bytes.
type urgency int

const (
	essential urgency = -debtBytes           // probes and their answers
	exchange  urgency = 0                    // comparison of digests
	optional  urgency = 2 * MaxDatagramBytes // news
)

// bucket is the budget of bytes to send.
type bucket struct {
	rate, burst int
	tokens      float64
	filledAt    time.Duration
}

func newBucket(rate, burst int) bucket {
	return bucket{rate: rate, burst: burst, tokens: float64(burst)}
}

func (b *bucket) take(n int, now time.Duration, u urgency) bool {
	b.tokens = min(float64(b.burst), b.tokens+float64(b.rate)*(now-b.filledAt).Seconds())
	b.filledAt = now
	if b.tokens-float64(n) < float64(u) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// newsQueue holds the changes that are still to be passed on, the urgent ones
// apart.
type newsQueue struct {
	urgent, normal []string
	items          map[string]*newsItem
}

// newsItem is one change that is being passed on.
type newsItem struct {
	sends  int
	urgent bool
}

func (q *newsQueue) add(key string, urgent bool) {
	if q.items == nil {
		q.items = map[string]*newsItem{}
	}
	item := q.items[key]
	queued := item != nil && item.urgent == urgent
	q.items[key] = &newsItem{urgent: urgent}
	if !queued {
		q.push(key, urgent)
	}
}

func (q *newsQueue) push(key string, urgent bool) {
	if urgent {
		q.urgent = append(q.urgent, key)
		return
	}
	q.normal = append(q.normal, key)
}

func (q *newsQueue) empty() bool { return len(q.items) == 0 }

// newsTick sends what is new to a few hosts.
func (c *Core) newsTick() {
	if c.news.empty() {
		return
	}
	targets := c.pick(fanout, "")
	if len(targets) == 0 {
		return
	}
	d := &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_NEWS}
	keys := c.fill(d)
	for _, name := range targets {
		if c.send(name, clone(d), optional) {
			c.news.sent(keys)
		}
	}
	c.news.settle(keys, c.spreadLimit())
}

// piggyback adds news to a datagram that is sent anyway.
func (c *Core) piggyback(d *wire.GossipDatagram) {
	if c.budget.tokens < float64(optional)+MaxDatagramBytes {
		return
	}
	keys := c.fill(d)
	c.news.sent(keys)
	c.news.settle(keys, c.spreadLimit())
}

func (c *Core) spreadLimit() int { return spreadExtra + c.doublings() }

// limitOf is how often a change is sent. Urgent news must reach the last host
// in time though datagrams are lost.
func (i *newsItem) limitOf(spread int) int {
	if i.urgent {
		return urgentFactor * spread
	}
	return spread
}

// heard counts a record that came again as one that need not be sent: the
// others pass it on already.
func (q *newsQueue) heard(key string, limit int) {
	item := q.items[key]
	if item == nil || item.urgent {
		return
	}
	if item.sends++; item.sends >= limit {
		delete(q.items, key)
	}
}

// fill takes changes from the queue until the datagram is full.
func (c *Core) fill(d *wire.GossipDatagram) []string {
	var keys []string
	room := MaxDatagramBytes - headerBytes - addressingBytes - proto.Size(d)
	taken := map[string]bool{}
	for _, queue := range []*[]string{&c.news.urgent, &c.news.normal} {
		for len(*queue) > 0 {
			key := (*queue)[0]
			if c.news.items[key] == nil || taken[key] {
				*queue = (*queue)[1:]
				continue
			}
			n := c.recordBytes(key)
			if n > room {
				break
			}
			*queue = (*queue)[1:]
			room -= n
			taken[key] = true
			if c.appendRecord(d, key) {
				keys = append(keys, key)
			} else {
				delete(c.news.items, key)
			}
		}
	}
	return keys
}

func (q *newsQueue) sent(keys []string) {
	for _, key := range keys {
		q.items[key].sends++
	}
}

// settle puts changes back that were not sent often enough.
func (q *newsQueue) settle(keys []string, limit int) {
	for _, key := range keys {
		item := q.items[key]
		if item.sends >= item.limitOf(limit) {
			delete(q.items, key)
			continue
		}
		q.push(key, item.urgent)
	}
}

// send sends a datagram to a known host.
func (c *Core) send(name string, d *wire.GossipDatagram, u urgency) bool {
	h := c.hosts[name]
	if h == nil {
		return false
	}
	return c.sendTo(name, h.record.GetPeersAddress(), d, u)
}

func (c *Core) sendTo(name, address string, d *wire.GossipDatagram, u urgency) bool {
	d.From, d.To, d.Epoch = c.self.GetName(), name, c.self.GetEpoch()
	c.sequence++
	d.Sequence = c.sequence
	if !c.budget.take(proto.Size(d)+headerBytes, c.now, u) {
		return false
	}
	c.out.Sends = append(c.out.Sends, Send{Address: address, Datagram: d})
	return true
}
