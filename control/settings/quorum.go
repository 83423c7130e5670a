package settings

import (
	"net"
	"slices"
	"strings"

	"github.com/snipebeam/snipebeam/world/setting"
)

// Quorum configures the members of the control group and the timing of the
// consensus protocol.
type Quorum struct {
	Hosts          []string `toml:"hosts" comment:"first membership as name=address, the same list on each host; the first one forms the group; empty: this host alone"`
	Seeds          []string `toml:"seeds" comment:"addresses of some control hosts, with any port; instead of hosts, for a group that keeps its own membership"`
	Bootstrap      bool     `toml:"bootstrap" comment:"with seeds: the whole system starts for the first time, and the seeds form the group"`
	FaultTolerance int      `toml:"faultTolerance" comment:"with seeds: control hosts that may be lost at the same time; the group keeps twice as many votes and one"`
	TickMs         int      `toml:"tickMs" comment:"milliseconds of one tick"`
	HeartbeatTicks int      `toml:"heartbeatTicks" comment:"ticks between heartbeats"`
	ElectionTicks  int      `toml:"electionTicks" comment:"ticks without a leader before an election, at least; a leader without a quorum steps down after as many"`
}

func defaultQuorum() Quorum { return Quorum{TickMs: 25, HeartbeatTicks: 2, ElectionTicks: 12} }

// minElectionHeartbeats is the least number of heartbeat intervals in an
// election timeout.
const minElectionHeartbeats = 3

// InitialHosts returns the name and the address of each host of the initial
// membership.
func (q *Quorum) InitialHosts() [][2]string {
	var all [][2]string
	for _, host := range q.Hosts {
		name, address, _ := strings.Cut(host, "=")
		all = append(all, [2]string{name, address})
	}
	return all
}

// Voters returns the number of voters that the group maintains automatically,
// or 0 if operators manage its membership.
func (q *Quorum) Voters() int {
	if len(q.Seeds) == 0 {
		return 0
	}
	return 2*q.FaultTolerance + 1
}

func (q *Quorum) check(c *setting.Checker) {
	for _, seed := range q.Seeds {
		c.Address("quorum.seeds", seed, "10.0.0.1:7100")
	}
	if len(q.Seeds) > 0 && len(q.Hosts) > 0 {
		c.Fail("quorum.seeds", "is set together with quorum.hosts", "keep one of the two")
	}
	if q.FaultTolerance < 0 {
		c.Fail("quorum.faultTolerance", "is negative", "1 needs three control hosts, 2 needs five")
	}
	var names []string
	for _, host := range q.Hosts {
		name, address, ok := strings.Cut(host, "=")
		if _, _, err := net.SplitHostPort(address); !ok || name == "" || err != nil {
			c.Fail("quorum.hosts", "contains "+host, "write each as control-1=127.0.0.1:7100")
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
