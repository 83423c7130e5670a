package peer

import (
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/gossip"
)

// datagramOverhead is the size of the IP and UDP headers.
const datagramOverhead = 28

// send writes one datagram. The protocol tolerates lost datagrams.
func (n *Node) send(s gossip.Send) {
	address, err := netip.ParseAddrPort(s.Address)
	if err != nil || n.conn == nil {
		refused.Inc()
		return
	}
	data, err := n.codec.Encode(s.Datagram)
	if err != nil {
		n.logger.Error("cannot encode datagram", "error", err)
		return
	}
	sentBytes.Add(len(data) + datagramOverhead)
	if _, err := n.conn.WriteToUDPAddrPort(data, address); err != nil {
		n.logger.Debug("cannot send datagram", "to", s.Address, "error", err)
	}
}

// read receives datagrams until the socket is closed.
func (n *Node) read() {
	buffer := make([]byte, gossip.MaxDatagramBytes+1)
	for {
		size, _, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if isClosed(err) {
				return
			}
			continue
		}
		receivedBytes.Add(size + datagramOverhead)
		d, err := n.codec.Decode(buffer[:size])
		if err != nil {
			refused.Inc()
			continue
		}
		n.step(func(now time.Duration) gossip.Output { return n.core.Receive(now, d) })
	}
}

func isClosed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && errors.Is(op.Err, net.ErrClosed)
}
