package rule

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Condition requires a request header to have a value.
type Condition struct {
	header string // in canonical form
	value  string
}

// Header returns the header's name in canonical form.
func (c Condition) Header() string { return c.header }

// Value returns the required value.
func (c Condition) Value() string { return c.value }

func newCondition(header, value string) Condition {
	return Condition{header: textproto.CanonicalMIMEHeaderKey(header), value: value}
}

// matches reports whether any value of the header is the required one. Repeated
// header lines and a comma-separated list are equivalent.
func (c Condition) matches(header http.Header) bool {
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
