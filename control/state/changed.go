package state

// Changed returns a channel that is closed when another version comes in force
// or a record of an instance changes. Whoever waits asks for the channel first
// and reads the state then.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// mark says how far the state that watchers wait for has come.
type mark struct{ version, instances uint64 }

func (m *Machine) mark() mark {
	version, _ := m.rules.newest()
	return mark{version: version.GetNumber(), instances: m.instances.revision}
}

// announce wakes those who wait if the state went on from a mark.
func (m *Machine) announce(before mark) {
	if m.mark() == before || m.changed == nil {
		return
	}
	close(m.changed)
	m.changed = nil
}
