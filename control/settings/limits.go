package settings

import (
	"github.com/snipebeam/snipebeam/world/intake"
	"github.com/snipebeam/snipebeam/world/setting"
)

// Limits bounds what clients may make this host hold.
type Limits struct {
	MemoryMB    int `toml:"memoryMB" comment:"memory that this process may use, 0 for GOMEMLIMIT or what the machine has; clients may make it hold three eighths"`
	Connections int `toml:"connections" comment:"connections of all listeners together, 0 for half of the descriptors; beyond it, unused ones are closed"`
	HeaderLines int `toml:"headerLines" comment:"most lines of a request's headers"`
}

func defaultLimits() Limits { return Limits{HeaderLines: intake.DefaultHeadLines} }

func (l Limits) check(c *setting.Checker) {
	c.Positive("limits.headerLines", float64(l.HeaderLines))
	if l.MemoryMB < 0 || l.Connections < 0 {
		c.Fail("limits.memoryMB", "or limits.connections is negative", "0 means what the machine has")
	}
}
