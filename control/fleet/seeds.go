package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// maxSeeds is how many hosts an entry host is told of to join the others.
const maxSeeds = 3

// roleEntry is the role that entry hosts report.
const roleEntry = "entry"

// Seeds returns a few other entry hosts, at random, that reported lately.
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
