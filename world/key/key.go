// Package key authenticates requests between the system's processes, and from
// operators and upstreams, with shared keys read from files. Up to two keys are
// accepted at the same time, so that keys can be rotated without downtime.
//
// Usage:
//
//	ring, err := key.Load("peers.key")
//	server := ring.Authenticate(handler)
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

// MaxKeys is the number of keys accepted at the same time: the current one and
// the one it replaces.
const MaxKeys = 2

const scheme = "Bearer "

// Ring holds the accepted keys. Outgoing requests carry the first one. An empty
// ring accepts every request.
type Ring struct {
	keys []string
}

// New returns a ring of keys.
func New(keys ...string) *Ring { return &Ring{keys: keys} }

// Load reads a ring from a file with one key per line. An empty path yields an
// empty ring.
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

// Empty reports whether the ring has no keys and so accepts every request.
func (r *Ring) Empty() bool { return len(r.keys) == 0 }

// Accepts reports whether a request carries one of the keys as a bearer token.
func (r *Ring) Accepts(req *http.Request) bool {
	return r.AcceptsToken(strings.TrimPrefix(req.Header.Get("Authorization"), scheme))
}

// Token returns the key that outgoing requests carry, empty for an empty ring.
func (r *Ring) Token() string {
	if r.Empty() {
		return ""
	}
	return r.keys[0]
}

// AcceptsToken reports whether a token is one of the keys, or the ring is empty. The
// keys are hashed and compared in constant time.
func (r *Ring) AcceptsToken(token string) bool {
	if r.Empty() {
		return true
	}
	given := sha256.Sum256([]byte(token))
	accepted := 0
	for _, k := range r.keys {
		want := sha256.Sum256([]byte(k))
		accepted |= subtle.ConstantTimeCompare(given[:], want[:])
	}
	return accepted == 1
}

// Authenticate returns a handler that rejects requests without an accepted key.
func (r *Ring) Authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !r.Accepts(req) {
			http.Error(w, "key missing or not accepted", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, req)
	})
}

// Client returns a copy of an HTTP client that sends the first key with each
// request.
func (r *Ring) Client(base *http.Client) *http.Client {
	c := *base
	transport := c.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	c.Transport = &authTransport{ring: r, base: transport}
	return &c
}

type authTransport struct {
	ring *Ring
	base http.RoundTripper
}

// RoundTrip adds the key to a copy of the request.
func (t *authTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.ring.Empty() {
		return t.base.RoundTrip(req)
	}
	authenticated := req.Clone(req.Context())
	authenticated.Header.Set("Authorization", scheme+t.ring.keys[0])
	return t.base.RoundTrip(authenticated)
}
