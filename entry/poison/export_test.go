package poison

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// SuspectsAt is Suspects at a given time.
func (t *Tracker) SuspectsAt(now time.Time) []*wire.Suspect { return t.suspectsAt(now) }
