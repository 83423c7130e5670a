package gossip

import (
	"github.com/cespare/xxhash/v2"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Kinds of records; the kind is the first byte of a key.
const (
	hostKind     = "h"
	instanceKind = "i"
)

func hostKey(name string) string   { return hostKind + name }
func instanceKey(id string) string { return instanceKind + id }

// bucketCount is the number of buckets that records are hashed into.
const bucketCount = 128

// index holds a digest of each bucket of records, so that two hosts can find
// differing records with little traffic. Tombstones are excluded, because each
// host expires them at a different time.
type index struct {
	digests [bucketCount]uint32
	keys    [bucketCount]map[uint64]string
}

func (x *index) toggle(key string, digest uint32) uint64 {
	hash := xxhash.Sum64String(key)
	x.digests[hash%bucketCount] ^= digest
	return hash
}

func (x *index) add(key string, digest uint32) {
	hash := x.toggle(key, digest)
	bucket := &x.keys[hash%bucketCount]
	if *bucket == nil {
		*bucket = map[uint64]string{}
	}
	(*bucket)[hash] = key
}

func (x *index) remove(key string, digest uint32) {
	hash := x.toggle(key, digest)
	delete(x.keys[hash%bucketCount], hash)
}

func (x *index) find(hash uint64) (string, bool) {
	key, ok := x.keys[hash%bucketCount][hash]
	return key, ok
}

func (c *Core) indexHost(r *wire.GossipHost) {
	if r.GetStatus() < wire.HostStatus_HOST_DEAD {
		c.index.add(hostKey(r.GetName()), hostDigest(r))
	}
}

func (c *Core) unindexHost(r *wire.GossipHost) {
	if r.GetStatus() < wire.HostStatus_HOST_DEAD {
		c.index.remove(hostKey(r.GetName()), hostDigest(r))
	}
}

func (c *Core) indexInstance(m *wire.Instance) {
	if !m.GetGone() {
		c.index.add(instanceKey(m.GetId()), instanceDigest(m))
	}
}

func (c *Core) unindexInstance(m *wire.Instance) {
	if !m.GetGone() {
		c.index.remove(instanceKey(m.GetId()), instanceDigest(m))
	}
}

func hostDigest(r *wire.GossipHost) uint32 { return digest(r) }

func instanceDigest(m *wire.Instance) uint32 { return digest(m) }

func digest(m proto.Message) uint32 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return 0 // invalid UTF-8, which is rejected where records are received
	}
	return uint32(xxhash.Sum64(data))
}

// recordBytes returns the encoded size of a record within a datagram, 0 if there
// is none.
func (c *Core) recordBytes(key string) int {
	const tagBytes = 4
	var m proto.Message
	name := key[1:]
	if key[:1] == hostKind {
		if h := c.hosts[name]; h != nil {
			m = h.record
		}
	} else if r := c.instances[name]; r != nil {
		m = r.record
	}
	if m == nil {
		return 0
	}
	return proto.Size(m) + tagBytes
}

// appendRecord appends a record to a datagram. It reports whether the record
// exists.
func (c *Core) appendRecord(d *wire.GossipDatagram, key string) bool {
	name := key[1:]
	if key[:1] == hostKind {
		h := c.hosts[name]
		if h != nil {
			d.Hosts = append(d.Hosts, h.record)
		}
		return h != nil
	}
	r := c.instances[name]
	if r != nil {
		d.Instances = append(d.Instances, r.record)
	}
	return r != nil
}
