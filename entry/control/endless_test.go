package control_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/world/link"
)

// A process at the address of a control host that sent bytes without end filled the memory of each
// entry host that polled it.
func TestPollWithoutEndIsCutOff(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		var sent atomic.Int64
		piece := make([]byte, 64<<10)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			for sent.Load() < 128<<20 {
				n, err := w.Write(piece)
				if sent.Add(int64(n)); err != nil {
					return
				}
			}
		}))
		client := &http.Client{Transport: control.Lenient(control.NewTransport(), hclog.NewNullLogger())}
		response, err := client.Post(server.URL+"/twirp/Rules/Watch", "application/protobuf", http.NoBody)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			must.NoError(t, response.Body.Close())
		}
		must.ErrorIs(t, err, link.ErrTooLarge)
		server.Close()
		must.Less(t, 32<<20, sent.Load())
	}
}
