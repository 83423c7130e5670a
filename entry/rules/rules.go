// Package rules holds the rules file in force on this entry host.
//
// Usage:
//
//	table := rules.NewTable()
//	changed, err := table.Advance(version, text)
//	table.Confirm(version.GetNumber(), confirmedAt)
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
	confirmedAt atomic.Pointer[time.Time] // of a quorum's last word, on this host's running clock
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
	if at := t.confirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// ConfirmedNano returns ConfirmedAt in Unix nanoseconds, 0 if it never was.
func (t *Table) ConfirmedNano() int64 {
	if at := t.ConfirmedAt(); !at.IsZero() {
		return at.UnixNano()
	}
	return 0
}

// Confirmed reports whether a quorum confirmed a version since this host
// started. Until then the host does not know which version is in force.
func (t *Table) Confirmed() bool { return t.Current().Number() > 0 && t.confirmedAt.Load() != nil }

// Confirm records that a quorum confirmed a version at a time. A version that
// is older than the one in force says nothing.
func (t *Table) Confirm(number uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if number < t.Current().Number() || !at.After(t.ConfirmedAt()) {
		return
	}
	t.confirmedAt.Store(&at)
}

// Advance puts a newer version in force; an older or equal one is ignored.
func (t *Table) Advance(version *wire.Version, text string) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version.GetNumber() <= t.Current().Number() {
		return false, nil
	}
	set, findings := rule.ReadIncremental(t.Current().Set(), "rules", text)
	if err := findings.Err(); err != nil {
		return false, errors.Wrapf(err, "read version %d", version.GetNumber())
	}
	t.current.Store(&InForce{version: version, set: set, text: text})
	return true, nil
}
