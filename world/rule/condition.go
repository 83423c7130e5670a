package rule

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Condition asks for one value of a request header.
type Condition struct {
	header string // in canonical case
	value  string
}

// Header returns the header's name.
func (c Condition) Header() string { return c.header }

// Value returns the value that the header must have.
func (c Condition) Value() string { return c.value }

func newCondition(header, value string) Condition {
	return Condition{header: textproto.CanonicalMIMEHeaderKey(header), value: value}
}

// holds reports whether any value of the header is the wanted one. A header
// that stands several times and one with a comma-separated list mean the same.
func (c Condition) holds(header http.Header) bool {
	for _, line := range header[c.header] {
		if strings.TrimSpace(line) == c.value {
			return true
		}
		if !strings.Contains(line, ",") {
			continue
		}
		for element := range strings.SplitSeq(line, ",") {
			if strings.TrimSpace(element) == c.value {
				return true
			}
		}
	}
	return false
}
