// Package state is the replicated state machine of the control hosts: the
// accepted rules files, the claims on requests that run at most once, and the
// records of instances that announced themselves to control hosts.
//
// The machine is deterministic: it reads no clock and no random source, so
// that every replica that applies the same commands holds the same state. What
// expires does so on the group's clock, which the leader advances with its
// commands by the time that really passed: a wall clock that jumps moves
// nothing but the times that operators are shown.
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

// Machine holds the state. Its methods may be called from several goroutines.
type Machine struct {
	mu     sync.RWMutex
	clock  int64 // the group's running time, which expiry follows
	rules  rulesState
	claims claimsState

	instances instancesState

	changed chan struct{} // closed when another version comes in force or an instance changes
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{}
	m.rules.reset()
	m.claims.reset()
	m.instances.reset()
	return m
}

// Apply applies one committed command.
func (m *Machine) Apply(cmd *wire.Command) *wire.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.announce(m.mark())
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

// InForce returns the newest accepted version and its text, or nil.
func (m *Machine) InForce() (*wire.Version, string) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.rules.newest()
}

// Document returns what the newest version was translated from, if anything.
func (m *Machine) Document() []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.rules.document
}

// Version returns one accepted version and its text, or nil.
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

// ShowClaim returns what is known of one claim.
func (m *Machine) ShowClaim(key *wire.ClaimKey) *wire.ShowClaimResponse {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.show(key)
}

// Clock returns the group's running time as the last command set it.
func (m *Machine) Clock() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.clock
}

// CountClaims returns how many claims are held and how many are unknown.
func (m *Machine) CountClaims() (outstanding, unresolved int) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.counts[held], m.claims.counts[unknown]
}
