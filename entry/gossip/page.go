package gossip

import (
	"sort"

	"github.com/snipebeam/snipebeam/world/wire"
)

// pageRecords is how many records a host that fetches the state gets at once.
const pageRecords = 500

// RecordsAfter returns records after a key, in order of keys, and the last key if
// there may be more. It is for a host that fetches the whole state.
func (c *Core) RecordsAfter(after string) (hosts []*wire.GossipHost, instances []*wire.Instance, next string) {
	keys := c.keysAfter(after)
	if len(keys) > pageRecords {
		keys = keys[:pageRecords]
		next = keys[pageRecords-1]
	}
	d := &wire.GossipDatagram{}
	for _, key := range keys {
		c.appendRecord(d, key)
	}
	return d.GetHosts(), d.GetInstances(), next
}

func (c *Core) keysAfter(after string) []string {
	var keys []string
	for name := range c.hosts {
		if key := hostKey(name); key > after {
			keys = append(keys, key)
		}
	}
	for id := range c.instances {
		if key := instanceKey(id); key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}
