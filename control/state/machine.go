// Package state is the replicated state machine of the control hosts: the
// accepted rules files and the claims on requests that run at most once.
//
// The machine is deterministic: it reads no clock and no random source, so
// that every replica that applies the same commands holds the same state.
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
	"google.golang.org/protobuf/proto"
)

// Machine holds the state. Its methods may be called from several goroutines.
type Machine struct {
	mu     sync.RWMutex
	now    int64 // largest time of any applied command, Unix nanoseconds
	rules  rulesState
	claims claimsState
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{}
	m.rules.reset()
	m.claims.reset()
	return m
}

// Apply applies one committed command.
func (m *Machine) Apply(cmd *wire.Command) *wire.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.apply(cmd)
}

func (m *Machine) apply(cmd *wire.Command) *wire.Result {
	m.now = max(m.now, cmd.GetAt())
	m.claims.expire(m.now)
	switch body := cmd.GetBody().(type) {
	case *wire.Command_Submit:
		return &wire.Result{Body: &wire.Result_Submit{Submit: m.rules.submit(body.Submit, m.now)}}
	case *wire.Command_Claim:
		return &wire.Result{Body: &wire.Result_Claim{Claim: m.claims.claim(body.Claim, m.now)}}
	case *wire.Command_Complete:
		return &wire.Result{Body: &wire.Result_Complete{Complete: m.claims.complete(body.Complete)}}
	case *wire.Command_Release:
		return &wire.Result{Body: &wire.Result_Release{Release: m.claims.release(body.Release)}}
	case *wire.Command_Resolve:
		return &wire.Result{Body: &wire.Result_Resolve{Resolve: m.claims.resolve(body.Resolve)}}
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

// CountClaims returns how many claims are held and how many are unknown.
func (m *Machine) CountClaims() (held, unknown int) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.count()
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &wire.StateSnapshot{Now: m.now}
	m.rules.save(s)
	m.claims.save(s)
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Restore replaces the state by a snapshot.
func (m *Machine) Restore(data []byte) error {
	s := &wire.StateSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = s.GetNow()
	m.rules.load(s)
	m.claims.load(s)
	return nil
}
