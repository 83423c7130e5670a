package gossip

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

const (
	format   = 1 // first byte of a datagram
	macBytes = key.MACBytes
)

// Errors of a datagram.
var (
	ErrMalformed       = errors.New("the datagram is malformed")
	ErrUnauthenticated = errors.New("the datagram carries no accepted key's code")
)

// Codec encodes and authenticates datagrams: one byte of format, the
// authentication code, and the message.
type Codec struct {
	ring *key.Ring
}

// NewCodec returns a codec with the keys of a ring.
func NewCodec(ring *key.Ring) *Codec { return &Codec{ring: ring} }

// Encode returns the bytes of a datagram.
func (c *Codec) Encode(d *wire.GossipDatagram) ([]byte, error) {
	data := make([]byte, 1+macBytes, MaxDatagramBytes)
	data[0] = format
	data, err := proto.MarshalOptions{}.MarshalAppend(data, d)
	if err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	copy(data[1:], c.ring.MAC(data[1+macBytes:]))
	return data, nil
}

// Decode checks and reads a datagram.
func (c *Codec) Decode(data []byte) (*wire.GossipDatagram, error) {
	if len(data) < 1+macBytes || len(data) > MaxDatagramBytes || data[0] != format {
		return nil, ErrMalformed
	}
	body := data[1+macBytes:]
	if !c.ring.Authentic(body, data[1:1+macBytes]) {
		return nil, ErrUnauthenticated
	}
	d := &wire.GossipDatagram{}
	if err := proto.Unmarshal(body, d); err != nil {
		return nil, ErrMalformed
	}
	return d, nil
}
