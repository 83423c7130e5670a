// Package state implements the replicated state machine of the control hosts. It
// holds the accepted rules files, the claims on at-most-once requests, the records of
// instances that announced themselves to control hosts, and the evacuated zones.
//
// The machine is deterministic: it uses no clock and no random source, so that all
// replicas that apply the same commands have the same state. Expiry follows the
// group's clock, which the leader advances with its commands by the elapsed time.
// Steps of a wall clock thus affect only the times displayed to operators.
//
// Usage:
//
//	m := state.New()
//	result := m.Apply(command)
//	current, text := m.InForce()
package state

import (
	"sync"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Machine is the state machine. It is safe for concurrent use.
type Machine struct {
	mu     sync.RWMutex
	clock  int64 // elapsed time of the group in nanoseconds, the time base of expiry
	rules  rulesState
	claims claimsState

	instances   instancesState
	evacuations evacuationsState

	changes changes
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{changes: newChanges()}
	m.rules.reset()
	m.claims.reset()
	m.instances.reset()
	m.evacuations.reset()
	return m
}

// Apply applies one committed command.
func (m *Machine) Apply(cmd *wire.Command) *wire.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.notifyWatchers(m.watchRevision())
	return m.apply(cmd)
}

func (m *Machine) apply(cmd *wire.Command) *wire.Result {
	m.clock = max(m.clock, cmd.GetClock())
	m.claims.expire(m.clock)
	m.instances.expire(m.clock)
	switch body := cmd.GetBody().(type) {
	case *wire.Command_Submit:
		return &wire.Result{Body: &wire.Result_Submit{Submit: m.rules.submit(body.Submit, cmd.GetAt())}}
	case *wire.Command_Claim:
		return &wire.Result{Body: &wire.Result_Claim{Claim: m.claims.claim(body.Claim, cmd.GetAt(), m.clock)}}
	case *wire.Command_Complete:
		return &wire.Result{Body: &wire.Result_Complete{Complete: m.claims.complete(body.Complete)}}
	case *wire.Command_Release:
		return &wire.Result{Body: &wire.Result_Release{Release: m.claims.release(body.Release, m.clock)}}
	case *wire.Command_Resolve:
		return &wire.Result{Body: &wire.Result_Resolve{Resolve: m.claims.resolve(body.Resolve, m.clock)}}
	case *wire.Command_Announce:
		return &wire.Result{Body: &wire.Result_Announce{Announce: m.instances.announce(body.Announce, m.clock)}}
	case *wire.Command_Evacuation:
		return &wire.Result{Body: &wire.Result_Evacuation{Evacuation: m.evacuations.order(body.Evacuation, cmd.GetAt())}}
	case *wire.Command_Batch:
		return m.applyBatch(body.Batch)
	}
	return &wire.Result{}
}

func (m *Machine) applyBatch(batch *wire.CommandBatch) *wire.Result {
	results := make([]*wire.Result, 0, len(batch.GetCommands()))
	for _, cmd := range batch.GetCommands() {
		results = append(results, m.apply(cmd))
	}
	return &wire.Result{Body: &wire.Result_Batch{Batch: &wire.ResultBatch{Results: results}}}
}

// InForce returns the version in force, which is the newest accepted one, and its
// text, or nil.
func (m *Machine) InForce() (*wire.Version, string) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.rules.newest()
}

// Document returns the document that the version in force was translated from, or
// nil.
func (m *Machine) Document() []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.rules.document
}

// Version returns the accepted version with a number and its text, or nil. The text
// of an old version may have been dropped.
func (m *Machine) Version(number uint64) (*wire.Version, string) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.rules.version(number)
}

// History returns up to limit accepted versions, newest first.
func (m *Machine) History(limit int) []*wire.Version {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.rules.history(limit)
}

// ShowClaim returns the state of one claim.
func (m *Machine) ShowClaim(key *wire.ClaimKey) *wire.ShowClaimResponse {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.show(key)
}

// Clock returns the group's clock as of the last applied command.
func (m *Machine) Clock() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.clock
}

// CountClaims returns the number of claims that are held and the number of those
// whose outcome is unknown.
func (m *Machine) CountClaims() (outstanding, unresolved int) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.counts[held], m.claims.counts[unknown]
}
