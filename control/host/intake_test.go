package host

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/settings"
	"github.com/snipebeam/snipebeam/world/intake"
)

// Guards against a replica that can't be given the state: a snapshot is one message, and four
// bytes for each of its bytes exceed the budget of a host with 280 MB.
func TestSnapshotOfALargeStateIsReceived(t *testing.T) {
	cfg := settings.Default()
	cfg.Limits.MemoryMB = 280
	const stateBytes = 48 << 20
	budget := intake.NewBudget(intake.BytesOf(intake.Memory(int64(cfg.Limits.MemoryMB)<<20)), 0)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n, err := io.Copy(io.Discard, r.Body); err != nil || n != stateBytes {
			w.WriteHeader(http.StatusBadRequest)
		}
	})}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(intake.Protect(server, listener, budget, peerIntake(cfg))) }()
	t.Cleanup(func() { _ = server.Close() })
	response, err := http.Post("http://"+listener.Addr().String(), "application/protobuf", bytes.NewReader(make([]byte, stateBytes)))
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.NoError(t, response.Body.Close())
}
