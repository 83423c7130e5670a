package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// maxSeeds limits the seeds that an entry host gets for joining the gossip.
const maxSeeds = 3

// roleEntry is the role that entry hosts report.
const roleEntry = "entry"

// Seeds returns a random sample of up to maxSeeds other entry hosts that are not
// silent.
func (f *Fleet) Seeds(except string, now time.Time) []*wire.GossipHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	var seeds []*wire.GossipHost
	seen := 0
	for name, report := range f.reports {
		if name == except || report.GetRole() != roleEntry || now.Sub(f.lastSeen[name]) > SilentAfter {
			continue
		}
		seen++
		seed := &wire.GossipHost{Name: name, PeersAddress: report.GetPeersAddress()}
		if len(seeds) < maxSeeds {
			seeds = append(seeds, seed)
		} else if at := rand.IntN(seen); at < maxSeeds {
			seeds[at] = seed
		}
	}
	return seeds
}
