package control

import "slices"

// Hosts returns the addresses of the control hosts: the seeds and the members of the
// group.
func (w *Watch) Hosts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := append(w.seeds(), w.group...)
	slices.Sort(all)
	return slices.Compact(all)
}

// updateGroup stores the group's members as reported by a control host with a
// quorum.
func (w *Watch) updateGroup(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	slices.Sort(addresses)
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Equal(addresses, w.group) {
		return
	}
	w.group = addresses
	w.logger.Info("control group", "hosts", addresses)
	select {
	case w.groupChanged <- struct{}{}:
	default:
	}
}
