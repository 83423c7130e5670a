package gossip

import (
	"sort"

	"github.com/snipebeam/snipebeam/world/wire"
)

// pageSize is the number of records in one response of a full state transfer.
const pageSize = 500

// RecordsAfter returns one page of the records whose keys are greater than after,
// ordered by key. If there are more, next is the last key of the page. It serves
// hosts that fetch the full state.
func (c *Core) RecordsAfter(after string) (hosts []*wire.GossipHost, instances []*wire.Instance, next string) {
	keys := c.keysAfter(after)
	if len(keys) > pageSize {
		keys = keys[:pageSize]
		next = keys[pageSize-1]
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
