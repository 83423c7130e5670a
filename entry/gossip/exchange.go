package gossip

import (
	"sort"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Limits of one anti-entropy exchange.
const (
	maxSummaryKeys   = 60
	maxWanted        = 40
	pullAfterBuckets = bucketCount / 2 // if more buckets differ, the full state is pulled
	earlyPulls       = 3
)

// Minimum intervals between pulls of the full state.
const (
	pullInterval      = 30 * time.Second
	earlyPullInterval = time.Second
)

// syncTick sends digests to a random host and periodically pings a dead one, so
// that a healed partition merges again.
func (c *Core) syncTick() {
	if c.now >= c.nextSync {
		c.nextSync = c.now + syncInterval
		for _, name := range c.randomPeers(1, "") {
			c.sendDigests(name)
		}
	}
	if c.now >= c.nextRejoin {
		c.nextRejoin = c.now + rejoinInterval
		c.rejoin()
	}
}

// pullTick pulls the full state a few times after startup, since hosts that
// started at the same time may have had little state in the first pull.
func (c *Core) pullTick() {
	if c.earlyPulls == 0 || c.now < c.nextEarlyPull {
		return
	}
	for _, name := range c.randomPeers(1, "") {
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
	c.send(name, &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_DIGEST, Digests: c.index.digests[:]}, priorityNormal)
}

func (c *Core) rejoin() {
	var dead []string
	for name, h := range c.hosts {
		if h.record.GetStatus() == wire.HostStatus_HOST_DEAD {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return
	}
	sort.Strings(dead)
	c.ping(dead[c.random.IntN(len(dead))], c.random.Uint64())
}

// handleDigests replies to digests with a summary of random buckets that differ.
func (c *Core) handleDigests(d *wire.GossipDatagram) {
	if len(d.GetDigests()) != bucketCount {
		return
	}
	var differ []int
	for n, remote := range d.GetDigests() {
		if remote != c.index.digests[n] {
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
	reply := &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_SUMMARY}
	for _, n := range differ {
		if len(reply.GetSummary()) > 0 && len(reply.GetSummary())+len(c.index.keys[n]) > maxSummaryKeys {
			break
		}
		reply.Buckets = append(reply.Buckets, uint32(n))
		c.appendSummary(reply, n)
	}
	c.send(d.GetFrom(), reply, priorityNormal)
}

func (c *Core) appendSummary(reply *wire.GossipDatagram, n int) {
	for _, hash := range sortedHashes(c.index.keys[n]) {
		if len(reply.GetSummary()) == maxSummaryKeys {
			return
		}
		reply.Summary = append(reply.Summary, &wire.GossipKey{Key: hash, Digest: c.digestOf(c.index.keys[n][hash])})
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
	return instanceDigest(c.instances[key[1:]].record)
}

// handleSummary replies to a summary with the local records that differ, and with
// the keys of the records that are missing here.
func (c *Core) handleSummary(d *wire.GossipDatagram) {
	reply := &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_RECORDS}
	remote := map[uint64]uint32{}
	for _, entry := range d.GetSummary() {
		remote[entry.GetKey()] = entry.GetDigest()
		if _, known := c.index.find(entry.GetKey()); !known && len(reply.GetWanted()) < maxWanted {
			reply.Wanted = append(reply.Wanted, entry.GetKey())
		}
	}
	for _, n := range d.GetBuckets() {
		if n < bucketCount {
			c.appendDiffering(reply, int(n), remote)
		}
	}
	if len(reply.GetWanted())+len(reply.GetHosts())+len(reply.GetInstances()) > 0 {
		c.send(d.GetFrom(), reply, priorityNormal)
	}
}

func (c *Core) appendDiffering(reply *wire.GossipDatagram, n int, remote map[uint64]uint32) {
	for _, hash := range sortedHashes(c.index.keys[n]) {
		key := c.index.keys[n][hash]
		if digest, known := remote[hash]; known && digest == c.digestOf(key) {
			continue
		}
		c.appendIfFits(reply, key)
	}
}

func (c *Core) appendIfFits(d *wire.GossipDatagram, key string) {
	if proto.Size(d)+c.recordBytes(key)+headerBytes+addressingBytes <= MaxDatagramBytes {
		c.appendRecord(d, key)
	}
}

// handleRecords replies with the records that the sender wants and with those of
// which the sender has an older version.
func (c *Core) handleRecords(d *wire.GossipDatagram, stale []string) {
	reply := &wire.GossipDatagram{Kind: wire.GossipKind_GOSSIP_RECORDS}
	for _, key := range stale {
		c.appendIfFits(reply, key)
	}
	for _, hash := range d.GetWanted() {
		if key, known := c.index.find(hash); known {
			c.appendIfFits(reply, key)
		}
	}
	if len(reply.GetHosts())+len(reply.GetInstances()) > 0 {
		c.send(d.GetFrom(), reply, priorityNormal)
	}
}
