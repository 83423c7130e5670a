package instance

import (
	"net/netip"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Limits on what an instance may announce.
const (
	MaxSlots = 100_000
	MaxLinks = 1_000_000
)

// Check reports why a record cannot be that of an instance that takes requests, nil if it can.
// Records come from other processes, some of which may be of another build.
func Check(m *wire.Instance) error {
	switch {
	case m.GetId() == "":
		return errors.New("no id")
	case m.GetService() == "":
		return errors.New("no service")
	case m.GetSlots() > MaxSlots:
		return errors.Errorf("%d slots exceed the limit of %d", m.GetSlots(), MaxSlots)
	case m.GetMaxLinks() > MaxLinks:
		return errors.Errorf("%d connections exceed the limit of %d", m.GetMaxLinks(), MaxLinks)
	}
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil || address.Port() == 0 {
		return errors.Errorf("address %q is not an IP address and a port from 1 to 65535", m.GetAddress())
	}
	return nil
}
