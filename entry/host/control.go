package host

import (
	"slices"
	"sync/atomic"

	"github.com/snipebeam/snipebeam/entry/settings"
)

// controlHosts holds the addresses of the control hosts in the current settings,
// which a reload may replace.
type controlHosts struct{ addresses atomic.Pointer[[]string] }

func newControlHosts(cfg *settings.Settings) *controlHosts {
	c := &controlHosts{}
	c.set(cfg)
	return c
}

func (c *controlHosts) set(cfg *settings.Settings) {
	addresses := cfg.Control.Addresses()
	c.addresses.Store(&addresses)
}

// Addresses returns a copy of the addresses.
func (c *controlHosts) Addresses() []string { return slices.Clone(*c.addresses.Load()) }
