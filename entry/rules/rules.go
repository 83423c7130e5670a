// Package rules holds the rules file in force on this entry host.
//
// Usage:
//
//	table := rules.NewTable()
//	changed := table.Advance(version, text, confirmedAt)
//	current := table.Current()
package rules

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/rule"
	"github.com/snipebeam/snipebeam/world/wire"
)

// InForce is one version of the rules. It is immutable.
type InForce struct {
	version *wire.Version
	set     *rule.Set
	text    string
}

// Number returns the version's number, 0 before the first one.
func (f *InForce) Number() uint64 { return f.version.GetNumber() }

// Version returns who submitted the version, when and why.
func (f *InForce) Version() *wire.Version { return f.version }

// Set returns the parsed rules.
func (f *InForce) Set() *rule.Set { return f.set }

// Text returns the rules file.
func (f *InForce) Text() string { return f.text }

// Table holds the version in force behind an atomic pointer. Its number never
// goes down.
type Table struct {
	mu          sync.Mutex
	current     atomic.Pointer[InForce]
	confirmedAt atomic.Int64 // Unix nanoseconds of a quorum's last word
}

// NewTable returns a table with no rules.
func NewTable() *Table {
	t := &Table{}
	empty, _ := rule.Read("rules", "")
	t.current.Store(&InForce{set: empty})
	return t
}

// Current returns the version in force.
func (t *Table) Current() *InForce { return t.current.Load() }

// ConfirmedAt returns when a quorum last confirmed the version in force, the
// zero time if it never did.
func (t *Table) ConfirmedAt() time.Time {
	at := t.confirmedAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// Confirm records that a quorum confirmed the version in force.
func (t *Table) Confirm(at time.Time) { t.confirmedAt.Store(at.UnixNano()) }

// Advance puts a newer version in force; an older or equal one is ignored.
func (t *Table) Advance(version *wire.Version, text string) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version.GetNumber() <= t.Current().Number() {
		return false, nil
	}
	set, findings := rule.Read("rules", text)
	if err := findings.Err(); err != nil {
		return false, errors.Wrapf(err, "read version %d", version.GetNumber())
	}
	t.current.Store(&InForce{version: version, set: set, text: text})
	return true, nil
}
