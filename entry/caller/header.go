package caller

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// Request headers that callers may set and that are forwarded.
const (
	ServiceHeader  = "Snipebeam-Service"
	CallerHeader   = "Snipebeam-Caller"
	DeadlineHeader = "Snipebeam-Deadline-Ms" // time left, milliseconds
	AttemptHeader  = "Snipebeam-Attempt"
)

// Headers of organisations. Callers send KeyHeader, which is not forwarded; instances get
// OrganisationHeader, which callers cannot set.
const (
	KeyHeader          = "Snipebeam-Key"
	OrganisationHeader = "Snipebeam-Organisation"
)

// LoadHeader is a response header with the number of requests that the instance
// has in service and waiting.
const LoadHeader = "Snipebeam-Load"

// RateLimitHeader is a response header with the requests a second, a decimal
// number, that the instance accepts from all entry hosts together for as long as
// its responses have the header.
const RateLimitHeader = "Snipebeam-Rate-Limit"

// LeavingHeader is a response header by which an instance states that it leaves: any value
// but 0. This host then sends it no new request.
const LeavingHeader = "Snipebeam-Leaving"

// RefusedHeader is a response header by which an instance guarantees that it did
// not start the request.
const RefusedHeader = "Snipebeam-Not-Started"

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

func copyHeader(to, from http.Header) {
	removeHopByHopHeaders(from)
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // keeps the server from sniffing one
	}
}

// refuseUnsupported refuses CONNECT requests and protocol upgrades.
func refuseUnsupported(r *http.Request) *outcome.Problem {
	if r.Method == http.MethodConnect {
		return outcome.New(outcome.NotRun, outcome.UpgradeRefused, "CONNECT tunnels are not supported")
	}
	if r.Header.Get("Upgrade") != "" {
		return outcome.New(outcome.NotRun, outcome.UpgradeRefused, "protocol upgrades are not supported")
	}
	return nil
}

// outgoing returns the request to send to the instance.
func (c *call) outgoing(attempt int, target instance.ID) *http.Request {
	out := c.r.WithContext(c.ctx)
	out.Header = c.r.Header.Clone()
	url := *c.r.URL
	url.Scheme, url.Host = "http", c.r.Host
	out.URL = &url
	out.RequestURI = ""
	out.TransferEncoding = nil
	out.Close = false
	removeHopByHopHeaders(out.Header)
	delete(out.Header, "Expect")
	dialect := c.dialect
	setHeader(out.Header, dialect.Deadline, strconv.FormatInt(max(c.ctx.remaining().Milliseconds(), 1), 10))
	setHeader(out.Header, dialect.Attempt, strconv.Itoa(c.incomingAttempt-1+attempt))
	setHeader(out.Header, dialect.Caller, c.caller)
	setHeader(out.Header, dialect.Instance, string(target))
	c.setOrganisation(out)
	out.Body = c.body.open()
	return out
}
