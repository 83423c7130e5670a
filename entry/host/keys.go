package host

import (
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/key"
)

// keyRings holds the keys of clients that are not hosts of the system.
type keyRings struct {
	operators *key.Ring
	upstreams *key.Ring
}

func newKeyRings(cfg *settings.Settings) (*keyRings, error) {
	operators, err := key.Load(cfg.Keys.Operators)
	if err != nil {
		return nil, err
	}
	upstreams, err := key.Load(cfg.Keys.Upstreams)
	return &keyRings{operators: operators, upstreams: upstreams}, err
}
