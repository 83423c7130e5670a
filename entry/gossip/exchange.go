package gossip

import (
	"sort"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Bounds of one exchange.
const (
	maxSummaryKeys   = 60
	maxWanted        = 40
	pullAfterBuckets = bucketCount / 2 // so many differ: fetch the whole state
	earlyPulls       = 3
)

// Times between fetches of the whole state.
const (
	pullInterval      = 30 * time.Second
	earlyPullInterval = time.Second
)

// syncTick compares digests with a random host, and now and then with one that
// was lost, so that the halves of a partition find each other again.
func (c *Core) syncTick() {
	if c.now >= c.nextSync {
		c.nextSync = c.now + syncInterval
		for _, name := range c.pick(1, "") {
			c.sendDigests(name)
		}
	}
	if c.now >= c.nextRejoin {
		c.nextRejoin = c.now + rejoinInterval
		c.rejoin()
	}
}

// pullTick fetches the whole state a few times after the start, when many
// hosts may have started at once and knew little.
func (c *Core) pullTick() {
	if c.earlyPulls == 0 || c.now < c.nextEarlyPull {
		return
	}
	for _, name := range c.pick(1, "") {
		c.earlyPulls--
		c.nextEarlyPull = c.now + earlyPullInterval
		c.pull(name)
	}
}

func (c *Core) pull(name string) {
	c.nextPull = c.now + pullInterval
	c.out.Pull = c.hosts[name].record.GetPeersAddress()
}

func (c *Core) sendDigests(name string) {
	c.send(name, &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_DIGEST, Digests: c.index.digests[:]}, exchange)
}

func (c *Core) rejoin() {
	var lost []string
	for name, h := range c.hosts {
		if h.record.GetStatus() == wire.HostStatus_HOST_DEAD {
			lost = append(lost, name)
		}
	}
	if len(lost) == 0 {
		return
	}
	sort.Strings(lost)
	c.ping(lost[c.random.IntN(len(lost))], c.random.Uint64())
}

// compared answers digests with a summary of some groups that differ.
func (c *Core) compared(d *wire.GossipDatagram) {
	if len(d.GetDigests()) != bucketCount {
		return
	}
	var differ []int
	for n, theirs := range d.GetDigests() {
		if theirs != c.index.digests[n] {
			differ = append(differ, n)
		}
	}
	if len(differ) == 0 {
		return
	}
	if len(differ) > pullAfterBuckets && c.now >= c.nextPull {
		c.pull(d.GetFrom())
	}
	c.random.Shuffle(len(differ), func(i, j int) { differ[i], differ[j] = differ[j], differ[i] })
	answer := &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_SUMMARY}
	for _, n := range differ {
		if len(answer.GetSummary()) > 0 && len(answer.GetSummary())+len(c.index.keys[n]) > maxSummaryKeys {
			break
		}
		answer.Buckets = append(answer.Buckets, uint32(n))
		c.summarize(answer, n)
	}
	c.send(d.GetFrom(), answer, exchange)
}

func (c *Core) summarize(answer *wire.GossipDatagram, n int) {
	for _, hash := range sortedHashes(c.index.keys[n]) {
		if len(answer.GetSummary()) == maxSummaryKeys {
			return
		}
		answer.Summary = append(answer.Summary, &wire.GossipKey{Key: hash, Digest: c.digestOf(c.index.keys[n][hash])})
	}
}

func sortedHashes(keys map[uint64]string) []uint64 {
	all := make([]uint64, 0, len(keys))
	for hash := range keys {
		all = append(all, hash)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

func (c *Core) digestOf(key string) uint32 {
	if key[:1] == hostKind {
		return hostDigest(c.hosts[key[1:]].record)
	}
	return instanceDigest(c.instances[key[1:]].message)
}

// summarized answers a summary with this host's own records where they differ,
// and with the keys of those it does not have.
func (c *Core) summarized(d *wire.GossipDatagram) {
	answer := &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_RECORDS}
	theirs := map[uint64]uint32{}
	for _, one := range d.GetSummary() {
		theirs[one.GetKey()] = one.GetDigest()
		if _, known := c.index.find(one.GetKey()); !known && len(answer.GetWanted()) < maxWanted {
			answer.Wanted = append(answer.Wanted, one.GetKey())
		}
	}
	for _, n := range d.GetBuckets() {
		if n < bucketCount {
			c.appendDiffering(answer, int(n), theirs)
		}
	}
	if len(answer.GetWanted())+len(answer.GetHosts())+len(answer.GetInstances()) > 0 {
		c.send(d.GetFrom(), answer, exchange)
	}
}

func (c *Core) appendDiffering(answer *wire.GossipDatagram, n int, theirs map[uint64]uint32) {
	for _, hash := range sortedHashes(c.index.keys[n]) {
		key := c.index.keys[n][hash]
		if digest, known := theirs[hash]; known && digest == c.digestOf(key) {
			continue
		}
		c.appendIfRoom(answer, key)
	}
}

func (c *Core) appendIfRoom(d *wire.GossipDatagram, key string) {
	if proto.Size(d)+c.recordBytes(key)+headerBytes+addressingBytes <= MaxDatagramBytes {
		c.appendRecord(d, key)
	}
}

// exchanged answers wishes, and sends the known record where the sender's was
// older.
func (c *Core) exchanged(d *wire.GossipDatagram, stale []string) {
	answer := &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_RECORDS}
	for _, key := range stale {
		c.appendIfRoom(answer, key)
	}
	for _, hash := range d.GetWanted() {
		if key, known := c.index.find(hash); known {
			c.appendIfRoom(answer, key)
		}
	}
	if len(answer.GetHosts())+len(answer.GetInstances()) > 0 {
		c.send(d.GetFrom(), answer, exchange)
	}
}
