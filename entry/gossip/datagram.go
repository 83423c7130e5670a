package gossip

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/lenient"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

const (
	formatVersion = 1 // first byte of a datagram
	macBytes      = key.MACBytes
)

var skippedEntries = metrics.GetOrCreateCounter("snipebeam_gossip_skipped_entries_total")

// Errors of a datagram.
var (
	ErrMalformed       = errors.New("malformed datagram")
	ErrUnauthenticated = errors.New("datagram authentication code matches no accepted key")
)

// Codec encodes and authenticates datagrams. A datagram consists of one byte for
// the format version, the authentication code and the message.
type Codec struct {
	ring *key.Ring
}

// NewCodec returns a codec that uses the keys of a ring.
func NewCodec(ring *key.Ring) *Codec { return &Codec{ring: ring} }

// Encode returns the authenticated encoding of a datagram.
func (c *Codec) Encode(d *wire.GossipDatagram) ([]byte, error) {
	data := make([]byte, 1+macBytes, MaxDatagramBytes)
	data[0] = formatVersion
	data, err := proto.MarshalOptions{}.MarshalAppend(data, d)
	if err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	copy(data[1:], c.ring.MAC(data[1+macBytes:]))
	return data, nil
}

// Decode authenticates and decodes a datagram, without entries of lists that are malformed.
func (c *Codec) Decode(data []byte) (*wire.GossipDatagram, error) {
	if len(data) < 1+macBytes || len(data) > MaxDatagramBytes || data[0] != formatVersion {
		return nil, ErrMalformed
	}
	body := data[1+macBytes:]
	if !c.ring.VerifyMAC(body, data[1:1+macBytes]) {
		return nil, ErrUnauthenticated
	}
	d := &wire.GossipDatagram{}
	skipped, err := lenient.Unmarshal(body, d)
	skippedEntries.Add(len(skipped))
	if err != nil {
		return nil, ErrMalformed
	}
	return d, nil
}
