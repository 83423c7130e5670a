package evidence

import (
	"slices"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Limits of what is pending.
const (
	// AttributionWindow is the longest time between the end of an attempt and the news that its
	// instance has ended. Announcements of the next incarnation take seconds.
	AttributionWindow = 30 * time.Second
	// Settling is the time within which a process that ends closes its connections. One that
	// responds on an older connection after it has survived.
	Settling       = 3 * time.Second
	maxPending     = 4096
	endedRetention = time.Minute // longer than AttributionWindow, for attempts that end later
)

// Attempt is one request sent to one incarnation of an instance, which ended without a
// response.
type Attempt struct {
	fingerprint uint64
	instance    string
	id          uint64
	began       time.Time
	at          time.Time
	observed    bool // the connection closed or fell silent, not given up by this side
	dropped     bool
}

// NewAttempt returns an attempt that ended at a time. observed says that the connection was
// closed or fell silent under it, rather than given up on this side.
func NewAttempt(fingerprint uint64, instance string, id uint64, began, at time.Time, observed bool) *Attempt {
	return &Attempt{fingerprint: fingerprint, instance: instance, id: id, began: began, at: at, observed: observed}
}

// Fingerprint returns the fingerprint of the request.
func (a *Attempt) Fingerprint() uint64 { return a.fingerprint }

// Instance returns the instance with its incarnation.
func (a *Attempt) Instance() string { return a.instance }

// Began returns when the request was sent, by the clock of this process.
func (a *Attempt) Began() time.Time { return a.began }

// At returns when the attempt ended, by the clock of this process.
func (a *Attempt) At() time.Time { return a.at }

// Pending holds attempts without a response until it is known whether their instances have
// ended. It does not matter which of the two becomes known first, nor who knows it.
//
// A Pending is not safe for concurrent use.
type Pending struct {
	attempts   []*Attempt // in the order in which they were added
	byInstance map[string][]*Attempt
	byRequest  map[uint64][]*Attempt
	known      map[uint64]struct{}
	ended      map[string]time.Time // incarnations that are known to have ended, since when
}

// NewPending returns an empty Pending.
func NewPending() *Pending {
	return &Pending{byInstance: map[string][]*Attempt{}, byRequest: map[uint64][]*Attempt{}, known: map[uint64]struct{}{}, ended: map[string]time.Time{}}
}

// Len returns the number of attempts.
func (p *Pending) Len() int { return len(p.known) }

// Add adds an attempt, and reports whether its instance is known to have ended under it.
// Such an attempt is not kept.
func (p *Pending) Add(a *Attempt, now time.Time) (lost bool) {
	if since, ended := p.ended[a.instance]; ended {
		return !a.began.After(since.Add(Settling)) // told of by another process, it may look later than it was
	}
	if _, known := p.known[a.id]; known || now.Sub(a.at) > AttributionWindow {
		return false
	}
	for len(p.known) >= maxPending {
		p.drop(p.attempts[0])
		p.attempts = p.attempts[1:]
	}
	p.attempts = append(p.attempts, a)
	p.byInstance[a.instance] = append(p.byInstance[a.instance], a)
	p.byRequest[a.fingerprint] = append(p.byRequest[a.fingerprint], a)
	p.known[a.id] = struct{}{}
	p.Expire(now)
	return false
}

// Instances returns the instances under which attempts are pending.
func (p *Pending) Instances() []string {
	all := make([]string, 0, len(p.byInstance))
	for instance := range p.byInstance {
		all = append(all, instance)
	}
	return all
}

// Awaits reports whether attempts at an instance are pending whose connections closed.
func (p *Pending) Awaits(instance string) bool {
	return slices.ContainsFunc(p.byInstance[instance], func(a *Attempt) bool { return a.observed })
}

// End records that an incarnation has ended, and returns the attempts under which it did.
func (p *Pending) End(instance string, now time.Time) []*Attempt {
	if _, ended := p.ended[instance]; !ended {
		p.ended[instance] = now
	}
	lost := slices.DeleteFunc(slices.Clone(p.byInstance[instance]), func(a *Attempt) bool { return now.Sub(a.at) > AttributionWindow })
	p.dropAll(p.byInstance[instance])
	return lost
}

// Survive records a response of an instance on a connection that was opened at a time: the
// attempts that ended since and more than Settling ago did not end it.
func (p *Pending) Survive(instance string, opened, now time.Time) {
	p.dropAll(slices.DeleteFunc(slices.Clone(p.byInstance[instance]), func(a *Attempt) bool {
		return a.at.Before(opened) || now.Sub(a.at) < Settling
	}))
}

// Excuse drops the attempts of a request, which an instance has responded to.
func (p *Pending) Excuse(fingerprint uint64) {
	p.dropAll(p.byRequest[fingerprint])
}

// Observed returns the attempts that ended within the given time and whose connections
// closed, the latest first.
func (p *Pending) Observed(within time.Duration, now time.Time) []*Attempt {
	var all []*Attempt
	for _, a := range slices.Backward(p.attempts) {
		if now.Sub(a.at) <= within && a.observed && !a.dropped {
			all = append(all, a)
		}
	}
	return all
}

// Expire drops what is too old to count.
func (p *Pending) Expire(now time.Time) {
	expired := 0
	for _, a := range p.attempts {
		if !a.dropped && now.Sub(a.at) <= AttributionWindow {
			break
		}
		p.drop(a)
		expired++
	}
	p.attempts = p.attempts[expired:]
	for instance, since := range p.ended {
		if now.Sub(since) > endedRetention {
			delete(p.ended, instance)
		}
	}
}

func (p *Pending) dropAll(attempts []*Attempt) {
	for _, a := range slices.Clone(attempts) {
		p.drop(a)
	}
}

func (p *Pending) drop(a *Attempt) {
	if a.dropped {
		return
	}
	a.dropped = true
	delete(p.known, a.id)
	remove(p.byInstance, a.instance, a)
	remove(p.byRequest, a.fingerprint, a)
}

func remove[K comparable](index map[K][]*Attempt, key K, a *Attempt) {
	rest := slices.DeleteFunc(index[key], func(other *Attempt) bool { return other == a })
	if len(rest) == 0 {
		delete(index, key)
		return
	}
	index[key] = rest
}

// Message returns the attempt as it is sent to other processes.
func (a *Attempt) Message(now time.Time) *wire.Suspect {
	return &wire.Suspect{Fingerprint: a.fingerprint, Unconfirmed: []*wire.Loss{
		{Instance: a.instance, AgeMs: now.Sub(a.at).Milliseconds(), Attempt: a.id},
	}}
}

// Attempts returns the attempts without a response that another process told of.
func Attempts(m *wire.Suspect, now time.Time) []*Attempt {
	var all []*Attempt
	for _, l := range m.GetUnconfirmed() {
		if l.GetInstance() == "" || l.GetAttempt() == 0 {
			continue
		}
		at := now.Add(-age(l))
		all = append(all, NewAttempt(m.GetFingerprint(), l.GetInstance(), l.GetAttempt(), at, at, true))
	}
	return all
}
