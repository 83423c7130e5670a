package link_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/link"
)

const bound = 1 << 20

// flood serves bytes without end and counts them. It stops where the system would have run out of
// memory long before.
func flood(t *testing.T, status int) (string, *atomic.Int64) {
	t.Helper()
	var sent atomic.Int64
	piece := []byte(strings.Repeat("x", 32<<10))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		for sent.Load() < 64<<20 {
			n, err := w.Write(piece)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	return server.URL, &sent
}

// A peer that sent bytes without end was read until the memory was gone.
func TestResponseWithoutEndIsCutOff(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		url, _ := flood(t, status)
		client := http.Client{Transport: link.Bounded(link.Transport(), bound)}
		response, err := client.Get(url)
		must.NoError(t, err)
		data, err := io.ReadAll(response.Body)
		must.ErrorIs(t, err, link.ErrTooLarge)
		must.LessEq(t, bound+1, len(data))
		must.NoError(t, response.Body.Close())
	}
}

func TestResponseWithinTheBoundIsWhole(t *testing.T) {
	body := strings.Repeat("x", bound)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/longer" {
			_, _ = io.WriteString(w, body+"x")
			return
		}
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	client := http.Client{Transport: link.Bounded(link.Transport(), bound)}
	response, err := client.Get(server.URL)
	must.NoError(t, err)
	data, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, bound, len(data))
	must.NoError(t, response.Body.Close())
	response, err = client.Get(server.URL + "/longer")
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	must.ErrorIs(t, err, link.ErrTooLarge)
}

func TestHeaderWithoutEndIsCutOff(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for range 1024 {
			if _, err := io.WriteString(conn, "X-"+strings.Repeat("y", 1020)+": z\r\n"); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, "Content-Length: 0\r\n\r\n")
	}))
	defer server.Close()
	client := http.Client{Transport: link.Transport()}
	response, err := client.Get(server.URL)
	if err == nil {
		_ = response.Body.Close()
	}
	must.Error(t, err)
}

func TestRequestWithoutEndIsCutOff(t *testing.T) {
	var read atomic.Int64
	server := httptest.NewServer(link.BoundedHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		read.Store(n)
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}), bound))
	defer server.Close()
	response, err := http.Post(server.URL, "text/plain", io.LimitReader(endless{}, 64<<20))
	if err == nil {
		must.Eq(t, http.StatusRequestEntityTooLarge, response.StatusCode)
		must.NoError(t, response.Body.Close())
	}
	must.LessEq(t, bound, read.Load())
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
