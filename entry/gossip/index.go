package gossip

import (
	"github.com/cespare/xxhash/v2"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Kinds of records, the first byte of a key.
const (
	hostKind     = "h"
	instanceKind = "i"
)

func hostKey(name string) string   { return hostKind + name }
func instanceKey(id string) string { return instanceKind + id }

// bucketCount is how many groups the records are compared in.
const bucketCount = 128

// index holds a digest of each group of records, so that two hosts find what
// differs with little traffic. Records of what is gone are not in it: each
// host forgets them at a time of its own.
type index struct {
	digests [bucketCount]uint32
	keys    [bucketCount]map[uint64]string
}

func (x *index) flip(key string, digest uint32) uint64 {
	hash := xxhash.Sum64String(key)
	x.digests[hash%bucketCount] ^= digest
	return hash
}

func (x *index) add(key string, digest uint32) {
	hash := x.flip(key, digest)
	group := &x.keys[hash%bucketCount]
	if *group == nil {
		*group = map[uint64]string{}
	}
	(*group)[hash] = key
}

func (x *index) remove(key string, digest uint32) {
	hash := x.flip(key, digest)
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
		return 0 // text that is not UTF-8, refused where records come in
	}
	return uint32(xxhash.Sum64(data))
}

// recordBytes is the encoded size of a record within a datagram.
func (c *Core) recordBytes(key string) int {
	const tagBytes = 4
	var m proto.Message
	name := key[1:]
	if key[:1] == hostKind {
		if h := c.hosts[name]; h != nil {
			m = h.record
		}
	} else if r := c.instances[name]; r != nil {
		m = r.message
	}
	if m == nil {
		return 0
	}
	return proto.Size(m) + tagBytes
}

// appendRecord adds a record to a datagram. It reports whether there is one.
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
		d.Instances = append(d.Instances, r.message)
	}
	return r != nil
}
