package settings

import (
	"net"
	"slices"
	"strings"

	"github.com/snipebeam/snipebeam/world/setting"
)

// Quorum says which control hosts agree and how they keep time.
type Quorum struct {
	Hosts          []string `toml:"hosts" comment:"first membership as name=address, the same list on each host; the first one forms the group; empty: this host alone"`
	TickMs         int      `toml:"tickMs" comment:"milliseconds of one tick"`
	HeartbeatTicks int      `toml:"heartbeatTicks" comment:"ticks between heartbeats"`
	ElectionTicks  int      `toml:"electionTicks" comment:"ticks without a leader before an election, at least; a leader without a quorum steps down after as many"`
}

func defaultQuorum() Quorum { return Quorum{TickMs: 25, HeartbeatTicks: 2, ElectionTicks: 12} }

// minElectionHeartbeats is how many heartbeats an election timeout spans.
const minElectionHeartbeats = 3

// Initial returns name and address of each host of the first membership.
func (q *Quorum) Initial() [][2]string {
	var all [][2]string
	for _, one := range q.Hosts {
		name, address, _ := strings.Cut(one, "=")
		all = append(all, [2]string{name, address})
	}
	return all
}

func (q *Quorum) check(c *setting.Checker) {
	var names []string
	for _, one := range q.Hosts {
		name, address, ok := strings.Cut(one, "=")
		if _, _, err := net.SplitHostPort(address); !ok || name == "" || err != nil {
			c.Fail("quorum.hosts", "holds "+one, "write each as control-1=127.0.0.1:7100")
		}
		if slices.Contains(names, name) {
			c.Fail("quorum.hosts", "names "+name+" twice", "name each host once")
		}
		names = append(names, name)
	}
	if q.TickMs < 1 || q.HeartbeatTicks < 1 || q.ElectionTicks < minElectionHeartbeats*q.HeartbeatTicks {
		c.Fail("quorum.electionTicks", "does not fit the other times", "use ticks of 1 ms or more, and an election time of three heartbeats or more")
	}
}
