package settings

import (
	"github.com/snipebeam/snipebeam/world/intake"
	"github.com/snipebeam/snipebeam/world/setting"
)

// Limits bounds the connections and requests of callers, and the responses to
// them.
type Limits struct {
	HeaderBytes          int     `toml:"headerBytes" comment:"largest request line and headers, bytes"`
	BodyBytes            int64   `toml:"bodyBytes" comment:"largest request body, bytes"`
	ResponseBytes        int64   `toml:"responseBytes" comment:"largest body of an instance's answer, bytes"`
	HeaderTimeoutSeconds float64 `toml:"headerTimeoutSeconds" comment:"time to receive a request's headers"`
	IdleTimeoutSeconds   float64 `toml:"idleTimeoutSeconds" comment:"time that a caller's idle link is kept"`
	BufferBytes          int64   `toml:"bufferBytes" comment:"part of a request body that is kept for retries and fingerprints"`
	ProgressSeconds      float64 `toml:"progressSeconds" comment:"time that a caller may take to send or take progressBytes"`
	ProgressBytes        int     `toml:"progressBytes" comment:"bytes that count as progress of a request body"`
	InFlight             int     `toml:"inFlight" comment:"requests that this host handles at a time"`
	Links                int     `toml:"links" comment:"links of callers that this host holds"`
	MemoryMB             int     `toml:"memoryMB" comment:"memory that this process may use, 0 for GOMEMLIMIT or what the machine has; clients may make it hold three eighths"`
	Connections          int     `toml:"connections" comment:"connections of all listeners together, 0 for half of the descriptors; beyond it, unused ones are closed"`
	HeaderLines          int     `toml:"headerLines" comment:"most lines of a request's headers"`
	LinksPerCaller       int     `toml:"linksPerCaller" comment:"links that one caller's address may hold, 0 for no bound"`
}

func defaultLimits() Limits {
	return Limits{
		HeaderBytes: 32 << 10, BodyBytes: 4 << 30, ResponseBytes: 4 << 30, HeaderTimeoutSeconds: 10, IdleTimeoutSeconds: 60,
		BufferBytes: 64 << 10, ProgressSeconds: 30, ProgressBytes: 1 << 10, InFlight: 4096, Links: 8192,
		HeaderLines: intake.DefaultHeadLines,
	}
}

func (l Limits) check(c *setting.Checker) {
	c.Positive("limits.headerBytes", float64(l.HeaderBytes))
	c.Positive("limits.bodyBytes", float64(l.BodyBytes))
	c.Positive("limits.responseBytes", float64(l.ResponseBytes))
	c.Positive("limits.headerTimeoutSeconds", l.HeaderTimeoutSeconds)
	c.Positive("limits.idleTimeoutSeconds", l.IdleTimeoutSeconds)
	c.Positive("limits.bufferBytes", float64(l.BufferBytes))
	c.Positive("limits.progressSeconds", l.ProgressSeconds)
	c.Positive("limits.progressBytes", float64(l.ProgressBytes))
	c.Positive("limits.inFlight", float64(l.InFlight))
	c.Positive("limits.links", float64(l.Links))
	c.Positive("limits.headerLines", float64(l.HeaderLines))
	if l.MemoryMB < 0 || l.Connections < 0 {
		c.Fail("limits.memoryMB", "or limits.connections is negative", "0 means what the machine has")
	}
	if l.LinksPerCaller < 0 {
		c.Fail("limits.linksPerCaller", "is negative", "0 means no limit")
	}
}
