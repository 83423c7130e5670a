package settings

import "github.com/snipebeam/snipebeam/world/setting"

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes          int     `toml:"headerBytes" comment:"largest request line and headers, bytes"`
	BodyBytes            int64   `toml:"bodyBytes" comment:"largest request body, bytes"`
	HeaderTimeoutSeconds float64 `toml:"headerTimeoutSeconds" comment:"time to receive a request's headers"`
	IdleTimeoutSeconds   float64 `toml:"idleTimeoutSeconds" comment:"time that a caller's idle link is kept"`
}

func defaultLimits() Limits {
	return Limits{HeaderBytes: 32 << 10, BodyBytes: 4 << 30, HeaderTimeoutSeconds: 10, IdleTimeoutSeconds: 60}
}

func (l Limits) check(c *setting.Checker) {
	c.Positive("limits.headerBytes", float64(l.HeaderBytes))
	c.Positive("limits.bodyBytes", float64(l.BodyBytes))
	c.Positive("limits.headerTimeoutSeconds", l.HeaderTimeoutSeconds)
	c.Positive("limits.idleTimeoutSeconds", l.IdleTimeoutSeconds)
}
