package state

// Changed returns a channel that is closed when another version comes into force
// or an instance record changes. To miss no change, get the channel before reading
// the state.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// watchRevision is the revision of the state that watchers wait on.
type watchRevision struct{ version, instances uint64 }

func (m *Machine) watchRevision() watchRevision {
	version, _ := m.rules.newest()
	return watchRevision{version: version.GetNumber(), instances: m.instances.revision}
}

// notifyWatchers wakes the watchers if the state has changed since a revision.
func (m *Machine) notifyWatchers(before watchRevision) {
	if m.watchRevision() == before || m.changed == nil {
		return
	}
	close(m.changed)
	m.changed = nil
}
