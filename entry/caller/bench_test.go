package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
)

// BenchmarkCall sends a small request through a handler to an instance on
// loopback.
func BenchmarkCall(b *testing.B) {
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer instance.Close()
	e := newEntry(b, viewsOf(instance.Listener.Addr().String()), newClaims())
	b.ReportAllocs()
	for b.Loop() {
		req := httptest.NewRequest(http.MethodGet, "/x", nil)
		req.Header.Set(caller.ServiceHeader, "shop")
		w := httptest.NewRecorder()
		e.handler.ServeHTTP(w, req)
		must.Eq(b, http.StatusOK, w.Code)
	}
}
