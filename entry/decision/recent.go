package decision

import "sync"

// recentLength is the number of decisions retained for explanation.
const recentLength = 4096

// recent is a ring buffer of the latest decisions, indexed by ID.
type recent struct {
	mu   sync.Mutex
	ring [recentLength]*Decision
	next int
	byID map[string]*Decision
}

func newRecent() *recent { return &recent{byID: make(map[string]*Decision, recentLength)} }

func (r *recent) add(d *Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.ring[r.next]; old != nil && r.byID[old.ID] == old {
		delete(r.byID, old.ID)
	}
	r.ring[r.next] = d
	r.byID[d.ID] = d
	r.next = (r.next + 1) % recentLength
}

func (r *recent) find(id string) *Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}
