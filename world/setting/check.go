package setting

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/key"
)

// Checker validates loaded settings and adds its findings to a list. Each check
// is named after what it requires and reports a value that does not comply.
type Checker struct {
	doc      *Document
	findings *finding.List
}

// NewChecker returns a checker of a document that adds to the findings.
func NewChecker(doc *Document, findings *finding.List) *Checker {
	return &Checker{doc: doc, findings: findings}
}

// Fail adds an error at a key. The text continues a sentence that starts with
// the key.
func (c *Checker) Fail(key, text, hint string) {
	c.findings.Add(finding.Error, c.doc.Place(key), key+" "+text, hint)
}

// Required reports an empty value.
func (c *Checker) Required(key, value, hint string) {
	if value == "" {
		c.Fail(key, "is empty", hint)
	}
}

// Address reports a value that is not a host and port. It returns whether the
// value is valid.
func (c *Checker) Address(key, address, example string) bool {
	_, port, err := net.SplitHostPort(address)
	if err == nil {
		_, err = net.LookupPort("tcp", port)
	}
	if err != nil {
		c.Fail(key, "is not an address: "+err.Error(), "write it as "+example)
	}
	return err == nil
}

// Advertised reports an unspecified address, such as 0.0.0.0, in a setting that
// is advertised to other processes, which cannot connect to it.
func (c *Checker) Advertised(key, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return
	}
	if ip := net.ParseIP(host); host == "" || ip != nil && ip.IsUnspecified() {
		c.Fail(key, "is advertised to others, who cannot call "+address, "name one address of this machine")
	}
}

// OneOf reports a value that is not one of the allowed values.
func (c *Checker) OneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.Fail(key, fmt.Sprintf("is %q", value), "must be one of "+strings.Join(allowed, ", "))
	}
}

// Positive reports a number that is not above zero.
func (c *Checker) Positive(key string, value float64) {
	if !(value > 0) {
		c.Fail(key, fmt.Sprintf("is %v", value), "must be above 0")
	}
}

// KeyFiles reports key files that cannot be used. If some settings name a key
// file, it also reports those that do not, because their listeners would accept
// requests without a key.
func (c *Checker) KeyFiles(files map[string]string) {
	given := 0
	for name, path := range files {
		if path == "" {
			continue
		}
		given++
		if _, err := key.Load(path); err != nil {
			c.Fail(name, "cannot be used: "+err.Error(), "a key file holds one or two keys, one per line")
		}
	}
	if given == 0 {
		return
	}
	for name, path := range files {
		if path == "" {
			c.Fail(name, "is empty though other keys are set", "set it too, otherwise calls without a key are accepted there")
		}
	}
}

// Authenticated reports a listener beyond loopback that accepts requests without
// a key, unless that is allowed explicitly.
func (c *Checker) Authenticated(name, address string, hasKeys, allowed bool) {
	if !hasKeys && !allowed && !IsLoopback(address) {
		c.Fail(name, "is beyond loopback and there are no keys", "set the key files of [keys], or listen.allowUnkeyed = true")
	}
}
