package setting

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/key"
)

// Checker adds findings about settings that were read.
type Checker struct {
	doc      *Document
	findings *finding.List
}

// NewChecker returns a checker that adds to the findings.
func NewChecker(doc *Document, findings *finding.List) *Checker {
	return &Checker{doc: doc, findings: findings}
}

// Fail reports a key's value.
func (c *Checker) Fail(key, text, hint string) {
	c.findings.Add(finding.Error, c.doc.Place(key), key+" "+text, hint)
}

// Required reports a key that has no value.
func (c *Checker) Required(key, value, hint string) {
	if value == "" {
		c.Fail(key, "is empty", hint)
	}
}

// Address reports a value that is no address to listen on or to call.
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

// Advertised reports an address that others are told to call, and that stands for
// every address of this machine.
func (c *Checker) Advertised(key, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return
	}
	if ip := net.ParseIP(host); host == "" || ip != nil && ip.IsUnspecified() {
		c.Fail(key, "is told to others, who cannot call "+address, "name one address of this machine")
	}
}

// OneOf reports a value that is none of the words.
func (c *Checker) OneOf(key, value string, words ...string) {
	if !slices.Contains(words, value) {
		c.Fail(key, fmt.Sprintf("is %q", value), "it is one of "+strings.Join(words, ", "))
	}
}

// Positive reports a number that is not above zero.
func (c *Checker) Positive(key string, value float64) {
	if !(value > 0) {
		c.Fail(key, fmt.Sprintf("is %v", value), "it is above 0")
	}
}

// KeyFiles reports key files that cannot be used, and rings that are left open
// while others are closed.
func (c *Checker) KeyFiles(files map[string]string) {
	given := 0
	for name, path := range files {
		if path == "" {
			continue
		}
		given++
		if _, err := key.Load(path); err != nil {
			c.Fail(name, "cannot be used: "+err.Error(), "a key file holds one or two keys, one a line")
		}
	}
	if given == 0 {
		return
	}
	for name, path := range files {
		if path == "" {
			c.Fail(name, "is empty though other keys are set", "set it as well, or that door stands open")
		}
	}
}

// Authenticated reports a listener beyond loopback that takes calls without a key.
func (c *Checker) Authenticated(name, address string, keyed, allowed bool) {
	if !keyed && !allowed && !IsLoopback(address) {
		c.Fail(name, "is beyond loopback and there are no keys", "set the key files of [keys], or listen.allowUnkeyed = true")
	}
}
