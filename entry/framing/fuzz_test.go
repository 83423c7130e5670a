package framing

import (
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzScanner scans arbitrary bytes of a connection, whole and byte by byte: what is found
// does not depend on how the bytes arrive.
func FuzzScanner(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX: y\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var whole, split scanner
		whole.feed(data)
		for n := range data {
			split.feed(data[n : n+1])
		}
		must.Eq(t, whole.fault, split.fault)
		must.Eq(t, whole.state, split.state)
	})
}
