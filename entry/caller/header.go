package caller

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// Request headers that callers may set, and that are passed on.
const (
	ServiceHeader  = "Snipebeam-Service"
	CallerHeader   = "Snipebeam-Caller"
	DeadlineHeader = "Snipebeam-Deadline-Ms" // time left, milliseconds
	AttemptHeader  = "Snipebeam-Attempt"
)

// LoadHeader carries an instance's requests in service and waiting on its
// answers.
const LoadHeader = "Snipebeam-Load"

// RefusedHeader on an answer promises that the instance did not start.
const RefusedHeader = "Snipebeam-Not-Started"

// hopHeaders bind one link only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

func copyHeader(to, from http.Header) {
	removeHopHeaders(from)
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // keeps the server from guessing one
	}
}

// refuseForm refuses requests that this host does not pass on.
func refuseForm(r *http.Request) *outcome.Problem {
	if r.Method == http.MethodConnect {
		return outcome.New(outcome.NotRun, outcome.UpgradeRefused, "tunnels are not passed on")
	}
	if r.Header.Get("Upgrade") != "" {
		return outcome.New(outcome.NotRun, outcome.UpgradeRefused, "a change of protocol is not passed on")
	}
	return nil
}

// outgoing returns the request as it goes to the instance.
func (c *call) outgoing(attempt int, target instance.ID) *http.Request {
	out := c.r.WithContext(c.clock)
	out.Header = c.r.Header.Clone()
	url := *c.r.URL
	url.Scheme, url.Host = "http", c.r.Host
	out.URL = &url
	out.RequestURI = ""
	out.TransferEncoding = nil
	out.Close = false
	removeHopHeaders(out.Header)
	delete(out.Header, "Expect")
	speaks := c.dialect
	setHeader(out.Header, speaks.Deadline, strconv.FormatInt(max(c.clock.left().Milliseconds(), 1), 10))
	setHeader(out.Header, speaks.Attempt, strconv.Itoa(c.layer-1+attempt))
	setHeader(out.Header, speaks.Caller, c.caller)
	setHeader(out.Header, speaks.Instance, string(target))
	out.Body = c.body.open()
	return out
}
