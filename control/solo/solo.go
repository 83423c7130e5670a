// Package solo is a log of one host that keeps nothing on disk, for trying
// the rest of the system.
//
// Usage:
//
//	log := solo.New("control-1", machine)
package solo

import (
	"context"
	"sync/atomic"

	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Log applies every command at once.
type Log struct {
	name    string
	machine *state.Machine
	index   atomic.Uint64
}

// New returns a log that applies to a machine.
func New(name string, machine *state.Machine) *Log {
	return &Log{name: name, machine: machine}
}

// Propose applies the command.
func (l *Log) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	l.index.Add(1)
	return l.machine.Apply(cmd), nil
}

// Confirm always succeeds.
func (l *Log) Confirm(context.Context) error { return nil }

// Status describes a group of one.
func (l *Log) Status() agreement.Status {
	member := &wire.Member{Name: l.name, Role: "voter", Reachable: true}
	return agreement.NewStatus(l.name, "", 1, l.index.Load(), true, []*wire.Member{member})
}
