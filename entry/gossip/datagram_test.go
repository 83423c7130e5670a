package gossip_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/gossip"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

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
