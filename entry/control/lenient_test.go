package control_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// poll returns what a host receives if a control host responds with the given bytes.
func poll(t *testing.T, data []byte) (*wire.WatchResponse, string, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(data)
	}))
	defer server.Close()
	var log bytes.Buffer
	client := &http.Client{Transport: control.Lenient(server.Client().Transport, hclog.New(&hclog.LoggerOptions{Output: &log}))}
	response, err := wire.NewRulesProtobufClient(server.URL, client).Watch(context.Background(), &wire.WatchRequest{})
	return response, log.String(), err
}

// responseWith returns an encoded response with an entry among its instances and its suspects.
func responseWith(odd []byte) []byte {
	data, _ := proto.Marshal(&wire.WatchResponse{
		Instances: []*wire.Instance{{Id: "first"}}, Suspects: []*wire.Suspect{{Fingerprint: 1}}, InstancesRevision: 7,
	})
	for _, list := range []protowire.Number{12, 15} { // instances and suspects
		data = protowire.AppendBytes(protowire.AppendTag(data, list, protowire.BytesType), odd)
	}
	rest, _ := proto.Marshal(&wire.WatchResponse{Instances: []*wire.Instance{{Id: "last"}}, Suspects: []*wire.Suspect{{Fingerprint: 2}}})
	return append(data, rest...)
}

// One entry that cannot be decoded made a host lose the whole response, at each poll.
func TestOddEntryOfAResponseIsSkippedWithItsPlace(t *testing.T) {
	response, log, err := poll(t, responseWith([]byte{1<<3 | 2, 1, 0xff}))
	must.NoError(t, err)
	must.Len(t, 2, response.GetInstances())
	must.Eq(t, "last", response.GetInstances()[1].GetId())
	must.StrContains(t, log, "instances[1]")
	must.Eq(t, 7, response.GetInstancesRevision())
}

func FuzzOddEntryOfAResponse(f *testing.F) {
	f.Add([]byte{1<<3 | 2, 1, 0xff})
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, odd []byte) {
		response, _, err := poll(t, responseWith(odd))
		must.NoError(t, err)
		instances, suspects := response.GetInstances(), response.GetSuspects()
		must.Eq(t, "first", instances[0].GetId())
		must.Eq(t, "last", instances[len(instances)-1].GetId())
		must.Eq(t, 2, suspects[len(suspects)-1].GetFingerprint())
	})
}
