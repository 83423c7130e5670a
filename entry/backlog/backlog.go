// Package backlog counts requests as this host sees them: waiting, in flight,
// finished, and how old the oldest one is. It does not ask the servers.
//
// Usage:
//
//	stay := book.Arrive("catalogue", now)
//	stay.Start("catalogue-1", now)
//	stay.End(false, now)
package backlog

import (
	"sort"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Book holds the accounts of all services.
type Book struct {
	mu       sync.Mutex
	accounts map[string]*account
}

type account struct {
	stays       map[*Stay]struct{}
	arrivals    uint64
	completions uint64
}

// Stay is one request from its arrival to its end.
type Stay struct {
	book      *Book
	account   *account
	arrivedAt time.Time
	instance  instance.ID
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{accounts: map[string]*account{}} }

// Arrive records a request's arrival.
func (b *Book) Arrive(service string, now time.Time) *Stay {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[service]
	if a == nil {
		a = &account{stays: map[*Stay]struct{}{}}
		b.accounts[service] = a
	}
	s := &Stay{book: b, account: a, arrivedAt: now}
	a.stays[s] = struct{}{}
	a.arrivals++
	return s
}

// Start records that the request went to an instance.
func (s *Stay) Start(id instance.ID, _ time.Time) {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	s.instance = id
}

// End records the request's end.
func (s *Stay) End(_ bool, _ time.Time) {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	delete(s.account.stays, s)
	s.account.completions++
}

// Services returns a line for each service in order of names.
func (b *Book) Services(now time.Time) []*wire.ServiceBacklog {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines := make([]*wire.ServiceBacklog, 0, len(b.accounts))
	for name, a := range b.accounts {
		lines = append(lines, a.line(name, now))
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i].GetService() < lines[j].GetService() })
	return lines
}

func (a *account) line(name string, now time.Time) *wire.ServiceBacklog {
	line := &wire.ServiceBacklog{Service: name}
	for s := range a.stays {
		line.OldestNs = max(line.OldestNs, int64(now.Sub(s.arrivedAt)))
		if s.instance == "" {
			line.Queued++
		} else {
			line.InFlight++
		}
	}
	return line
}

// InFlight returns how many requests are at this host and the oldest's age.
func (b *Book) InFlight(now time.Time) (int, time.Duration) {
	total, oldest := 0, int64(0)
	for _, line := range b.Services(now) {
		total += int(line.GetInFlight() + line.GetQueued())
		oldest = max(oldest, line.GetOldestNs())
	}
	return total, time.Duration(oldest)
}
