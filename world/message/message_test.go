package message_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/message"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

func request(path, kind string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, nil)
	r.Header.Set("Content-Type", kind)
	return r
}

const protobuf = "application/protobuf"

func TestEntriesAreCounted(t *testing.T) {
	body, err := proto.Marshal(&wire.AnnounceRequest{Instances: []*wire.Instance{{}, {Id: "a"}, {Id: "b", Service: "s"}}})
	must.NoError(t, err)
	must.Eq(t, 3, message.Entries(request(wire.PeerPathPrefix+"Announce", protobuf), body))
	must.Eq(t, 0, message.Entries(request("/twirp/other.Peer/Announce", protobuf), body))
	must.Eq(t, 0, message.Entries(request(wire.PeerPathPrefix+"Announce", protobuf), []byte{0xff, 0xff}))
	must.Eq(t, 4, message.Entries(request(wire.PeerPathPrefix+"Announce", "application/json"), []byte(`{"instances":[{},{}]}`)))
}

// Guards against messages that take a hundred times their bytes: what is counted must
// explain what the decoder allocates.
func TestEntriesExplainWhatAMessageTakes(t *testing.T) {
	empty, err := proto.Marshal(&wire.AnnounceRequest{Instances: []*wire.Instance{{}}})
	must.NoError(t, err)
	body := bytes.Repeat(empty, 1<<17)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var decoded wire.AnnounceRequest
	must.NoError(t, proto.Unmarshal(body, &decoded))
	runtime.ReadMemStats(&after)
	entries := message.Entries(request(wire.PeerPathPrefix+"Announce", protobuf), body)
	must.Eq(t, 1<<17, entries)
	must.Less(t, uint64(message.EntryBytes*entries), after.TotalAlloc-before.TotalAlloc)
	t.Logf("%d bytes an entry", (after.TotalAlloc-before.TotalAlloc)/uint64(entries))
	runtime.KeepAlive(&decoded)
}

// FuzzEntries counts entries of arbitrary bytes.
func FuzzEntries(f *testing.F) {
	f.Add(wire.PeerPathPrefix+"Announce", []byte{0x0a, 0x00, 0x0a, 0x02, 0x0a, 0x00})
	f.Add(wire.QuorumPathPrefix+"Hello", []byte{0x0a, 0xff})
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		r := &http.Request{Header: http.Header{}}
		r.URL = httptest.NewRequest(http.MethodPost, "/", nil).URL
		r.URL.Path = path
		must.Between(t, 0, message.Entries(r, body), len(body))
	})
}
