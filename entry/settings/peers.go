package settings

import (
	"fmt"

	"github.com/snipebeam/snipebeam/world/setting"
)

// Peers configures the exchange of membership with the other entry hosts.
type Peers struct {
	Membership     string `toml:"membership" comment:"where hosts and instances are learnt: gossip of the entry hosts, or control for the control hosts"`
	BytesPerSecond int    `toml:"bytesPerSecond" comment:"bound of what this host sends to learn of hosts and instances, bytes a second"`
}

// Sources of the membership of hosts and instances.
const (
	MembershipGossip  = "gossip"
	MembershipControl = "control"
)

// Limits of the membership traffic that a host sends.
const (
	defaultPeersBytesPerSecond = 3072
	minPeersBytesPerSecond     = 1024
)

func defaultPeers() Peers {
	return Peers{Membership: MembershipGossip, BytesPerSecond: defaultPeersBytesPerSecond}
}

func (p Peers) check(c *setting.Checker) {
	c.OneOf("peers.membership", p.Membership, MembershipGossip, MembershipControl)
	if p.BytesPerSecond < minPeersBytesPerSecond {
		c.Fail("peers.bytesPerSecond", fmt.Sprintf("is %d", p.BytesPerSecond), fmt.Sprintf("set at least %d", minPeersBytesPerSecond))
	}
}
