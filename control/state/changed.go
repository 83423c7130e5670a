package state

// Changed returns a channel that is closed when another version comes in
// force. Whoever waits asks for the channel first and reads the version then.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// announce wakes those who wait if the version in force is not the one before.
func (m *Machine) announce(before uint64) {
	if m.inForce() == before || m.changed == nil {
		return
	}
	close(m.changed)
	m.changed = nil
}

func (m *Machine) inForce() uint64 {
	version, _ := m.rules.newest()
	return version.GetNumber()
}
