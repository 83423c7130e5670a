// Package key authenticates calls between the system's processes and from
// operators and upstreams with shared keys read from files. Two keys are
// accepted at a time, so that they can be rotated.
//
// Usage:
//
//	ring, err := key.Load("peers.key")
//	server := ring.Guard(handler)
//	client := ring.Client(http.DefaultClient)
package key

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// MaxKeys is the number of keys accepted at a time.
const MaxKeys = 2

const scheme = "Bearer "

// Ring holds the accepted keys; the first one is sent. An empty ring accepts
// everything.
type Ring struct {
	keys []string
}

// New returns a ring of keys.
func New(keys ...string) *Ring { return &Ring{keys: keys} }

// Load reads a ring from a file, one key a line; an empty path is an empty ring.
func Load(path string) (*Ring, error) {
	if path == "" {
		return New(), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read key file")
	}
	keys := strings.Fields(string(data))
	if len(keys) == 0 || len(keys) > MaxKeys {
		return nil, errors.Errorf("key file %s holds %d keys, want 1 or %d", path, len(keys), MaxKeys)
	}
	return New(keys...), nil
}

// Empty reports whether the ring accepts everything.
func (r *Ring) Empty() bool { return len(r.keys) == 0 }

// Accepts reports whether a request carries one of the keys.
func (r *Ring) Accepts(req *http.Request) bool {
	if r.Empty() {
		return true
	}
	given := sha256.Sum256([]byte(strings.TrimPrefix(req.Header.Get("Authorization"), scheme)))
	accepted := 0
	for _, k := range r.keys {
		want := sha256.Sum256([]byte(k))
		accepted |= subtle.ConstantTimeCompare(given[:], want[:])
	}
	return accepted == 1
}

// Authenticate refuses requests that carry none of the keys.
func (r *Ring) Authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !r.Accepts(req) {
			http.Error(w, "key missing or not accepted", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, req)
	})
}

// Client returns a copy of an HTTP client that sends the first key.
func (r *Ring) Client(base *http.Client) *http.Client {
	c := *base
	inner := c.Transport
	if inner == nil {
		inner = http.DefaultTransport
	}
	c.Transport = &authTransport{ring: r, inner: inner}
	return &c
}

type authTransport struct {
	ring  *Ring
	inner http.RoundTripper
}

// RoundTrip adds the key to a copy of the request.
func (s *authTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if s.ring.Empty() {
		return s.inner.RoundTrip(req)
	}
	signed := req.Clone(req.Context())
	signed.Header.Set("Authorization", scheme+s.ring.keys[0])
	return s.inner.RoundTrip(signed)
}
