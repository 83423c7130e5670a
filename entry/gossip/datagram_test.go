package gossip_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/gossip"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// instancesField is the number of the list of instances in a datagram.
const instancesField = 9

func sample() *wire.GossipDatagram {
	return &wire.GossipDatagram{
		From: "e1", Epoch: 1, Sequence: 1, Kind: wire.GossipKind_GOSSIP_SUMMARY, Buckets: []uint32{1, 900},
		Hosts:     []*wire.GossipHost{{Name: "e1", Epoch: 1, Revision: 1, PeersAddress: "e1"}},
		Instances: []*wire.Instance{{Id: "i", Incarnation: 3}}, Summary: []*wire.GossipKey{{Key: 5, Digest: 6}},
	}
}

func TestDatagramNeedsOneOfTwoKeys(t *testing.T) {
	data, err := gossip.NewCodec(key.New("old")).Encode(sample())
	must.NoError(t, err)
	got, err := gossip.NewCodec(key.New("new", "old")).Decode(data)
	must.NoError(t, err)
	must.True(t, proto.Equal(sample(), got))
	_, err = gossip.NewCodec(key.New("new")).Decode(data)
	must.ErrorIs(t, err, gossip.ErrUnauthenticated)
	for at := range data {
		forged := append([]byte{}, data...)
		forged[at] ^= 1
		_, err = gossip.NewCodec(key.New("old")).Decode(forged)
		must.Error(t, err, must.Sprintf("byte %d", at))
	}
}

func FuzzDecode(f *testing.F) {
	codec := gossip.NewCodec(key.New())
	seed, _ := codec.Encode(sample())
	f.Add(seed)
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := codec.Decode(data)
		if err != nil {
			return
		}
		core := gossip.New(&wire.GossipHost{Name: "e0", Epoch: 1}, rand.New(rand.NewPCG(1, 1)))
		checkSends(t, codec, core.Receive(0, d))
		for n := range 50 {
			checkSends(t, codec, core.Tick(time.Duration(n+1)*gossip.TickInterval))
		}
	})
}

func checkSends(t *testing.T, codec *gossip.Codec, out gossip.Output) {
	for _, send := range out.Sends {
		data, err := codec.Encode(send.Datagram)
		must.NoError(t, err)
		must.LessEq(t, gossip.MaxDatagramBytes, len(data))
	}
}

// One record that cannot be decoded made a host lose the datagram, with all other records.
func TestOddRecordOfADatagramIsSkipped(t *testing.T) {
	codec := gossip.NewCodec(key.New())
	data, err := proto.Marshal(sample())
	must.NoError(t, err)
	odd := protowire.AppendBytes(protowire.AppendTag(nil, instancesField, protowire.BytesType), []byte{1<<3 | 2, 1, 0xff})
	last, err := proto.Marshal(&wire.GossipDatagram{Instances: []*wire.Instance{{Id: "last"}}})
	must.NoError(t, err)
	datagram := append([]byte{1}, make([]byte, key.MACBytes)...)
	datagram = append(datagram, append(append(data, odd...), last...)...)
	copy(datagram[1:], key.New().MAC(datagram[1+key.MACBytes:]))
	got, err := codec.Decode(datagram)
	must.NoError(t, err)
	must.Len(t, 2, got.GetInstances())
	must.Eq(t, "last", got.GetInstances()[1].GetId())
}
