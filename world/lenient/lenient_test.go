package lenient_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/lenient"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// instances is the number of the list in a WatchResponse.
const instances = 12

// withOdd returns a response with two instances and an odd entry between them.
func withOdd(odd []byte) []byte {
	data := entry(instances, &wire.Instance{Id: "first"})
	data = protowire.AppendBytes(protowire.AppendTag(data, instances, protowire.BytesType), odd)
	data = append(data, entry(instances, &wire.Instance{Id: "last"})...)
	return protowire.AppendVarint(protowire.AppendTag(data, 13, protowire.VarintType), 7)
}

func entry(number protowire.Number, m proto.Message) []byte {
	encoded, _ := proto.Marshal(m)
	return protowire.AppendBytes(protowire.AppendTag(nil, number, protowire.BytesType), encoded)
}

func nested(depth int) []byte {
	var data []byte
	for range depth {
		data = protowire.AppendTag(data, 99, protowire.StartGroupType)
	}
	for range depth {
		data = protowire.AppendTag(data, 99, protowire.EndGroupType)
	}
	return data
}

func TestOddEntryIsSkippedAndAllOthersAreDecoded(t *testing.T) {
	for name, odd := range map[string][]byte{
		"invalid UTF-8":    {1<<3 | 2, 1, 0xff},
		"truncated":        {1<<3 | 2, 100},
		"number too large": {3 << 3, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f},
		"deeply nested":    nested(20_000),
		"no field":         {0xff},
	} {
		response := &wire.WatchResponse{}
		skipped, err := lenient.Unmarshal(withOdd(odd), response)
		must.NoError(t, err, must.Sprint(name))
		must.Len(t, 1, skipped, must.Sprint(name))
		must.Eq(t, "instances[1]", skipped[0].Place())
		must.Len(t, 2, response.GetInstances())
		must.Eq(t, "last", response.GetInstances()[1].GetId())
		must.Eq(t, 7, response.GetInstancesRevision())
	}
}

func FuzzOddEntry(f *testing.F) {
	f.Add([]byte{1<<3 | 2, 1, 0xff})
	f.Add(nested(3))
	f.Fuzz(func(t *testing.T, odd []byte) {
		response := &wire.WatchResponse{}
		skipped, err := lenient.Unmarshal(withOdd(odd), response)
		must.NoError(t, err)
		must.LessEq(t, 1, len(skipped))
		all := response.GetInstances()
		must.Len(t, 3-len(skipped), all)
		must.Eq(t, "first", all[0].GetId())
		must.Eq(t, "last", all[len(all)-1].GetId())
	})
}

func FuzzUnmarshal(f *testing.F) {
	f.Add(withOdd([]byte{0xff}))
	f.Fuzz(func(t *testing.T, data []byte) {
		response := &wire.WatchResponse{}
		if skipped, err := lenient.Unmarshal(data, response); err != nil || len(skipped) == 0 {
			return
		}
		_, err := proto.Marshal(response)
		must.NoError(t, err)
	})
}
