package caller

import "sync"

// fairShare is the part of the bound that one caller may hold once the host is
// half full.
const fairShare = 4

// door bounds the requests in the handler and keeps one caller from taking
// all of them.
type door struct {
	most int

	mu      sync.Mutex
	total   int
	callers map[string]int
}

func newDoor(most int) *door { return &door{most: most, callers: map[string]int{}} }

// enter counts a request in, or refuses it.
func (d *door) enter(caller string) bool {
	if d.most <= 0 {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	crowded := d.total >= d.most/2 && d.callers[caller] >= max(d.most/fairShare, 1)
	if d.total >= d.most || crowded {
		refused.Inc()
		return false
	}
	d.total++
	d.callers[caller]++
	return true
}

func (d *door) leave(caller string) {
	if d.most <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.total--
	d.callers[caller]--
	if d.callers[caller] == 0 {
		delete(d.callers, caller)
	}
}
