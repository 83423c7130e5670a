package state

// Signal is closed at the next change of a part of the state. To miss no change, get the
// signal before reading the state.
type Signal <-chan struct{}

// changes holds the signals that watchers wait on. Watchers of one part are not woken by
// the other: there are many of them.
type changes struct {
	version   chan struct{}
	instances chan struct{}

	evacuations chan struct{}
}

func newChanges() changes {
	return changes{version: make(chan struct{}), instances: make(chan struct{}), evacuations: make(chan struct{})}
}

// VersionChanged returns the signal of another version in force.
func (m *Machine) VersionChanged() Signal {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changes.version
}

// InstancesChanged returns the signal of a change of an instance record.
func (m *Machine) InstancesChanged() Signal {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changes.instances
}

// watchRevision is the revision of the state that watchers wait on.
type watchRevision struct{ version, instances, evacuations uint64 }

func (m *Machine) watchRevision() watchRevision {
	version, _ := m.rules.newest()
	return watchRevision{version: version.GetNumber(), instances: m.instances.revision, evacuations: m.evacuations.revision}
}

// notifyWatchers wakes the watchers of what has changed since a revision.
func (m *Machine) notifyWatchers(before watchRevision) {
	now := m.watchRevision()
	if now.version != before.version {
		close(m.changes.version)
		m.changes.version = make(chan struct{})
	}
	if now.instances != before.instances {
		close(m.changes.instances)
		m.changes.instances = make(chan struct{})
	}
	if now.evacuations != before.evacuations {
		close(m.changes.evacuations)
		m.changes.evacuations = make(chan struct{})
	}
}
