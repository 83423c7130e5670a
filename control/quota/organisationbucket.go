package quota

import (
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
)

const (
	// reserveValidity is how long an entry host may use what it holds in reserve.
	reserveValidity = 3 * time.Second
	// waitingValidity is how long it may use a grant for a request that waits. An
	// organisation without a burst can have a quarter of a second of its rate granted at
	// once, and is granted no more until this time has passed.
	waitingValidity = 150 * time.Millisecond
	// limitWindow is the time in which the requests that run are bounded.
	limitWindow = 5 * time.Second
	// sweepInterval is the time between two walks over the reserves of a bucket.
	sweepInterval = 50 * time.Millisecond
	// maxPromised bounds the time after which refused requests are asked to come back.
	maxPromised = 2 * time.Second
)

// Parts of the requests that may run beyond the rate and the burst in one window.
const (
	windowSlackPart  = 0.1
	windowSlackCount = 20
	leaderPart       = 1.0 / 2 // of the slack for one leader
	successorPart    = 1.0 / 4 // of the slack for each later leader: two fit into the rest
	firstPart        = 3.0 / 2 // of what waitingPart leaves, left also to hosts without a reserve
	waitingPart      = 1.0 / 2 // of the bucket, left to requests that wait
)

// organisationBucket is the token bucket of one organisation. The tokens in it and those
// that hosts hold add up to at most its size. Only time adds to the sum: what a host holds
// leaves it when the host has spent it, and also when it expires, as a host that was cut
// off may have spent it.
type organisationBucket struct {
	terms         *contract.Organisation
	since         time.Time // since when this leader is in office
	at            time.Time // of the last fill
	level         float64
	held          int     // by hosts
	adopted       int     // of those, granted by former leaders, while any of their grants may be in use
	gone          int     // adopted and no longer held
	credit        float64 // what the level lacks only because this leader began with little
	reserves      map[*account]*hostReserve
	waitingGrants []*waitingGrant // by time of expiry
	sweptAt       time.Time

	promised  time.Time // when the requests refused so far could have got a token
	refusedAt time.Time
	limited   bool // as last logged
}

// hostReserve is what one host holds in reserve.
type hostReserve struct {
	tokens  int
	adopted int // of those
	until   time.Time
}

// waitingGrant is a grant for requests that wait, which the host spends at once or never.
type waitingGrant struct {
	tokens  int
	until   time.Time
	expired bool
}

// sizes returns the size of an organisation's bucket, and its size during the validity of
// what former leaders granted.
func sizes(o *contract.Organisation) (full, initial float64) {
	slack := windowSlackPart*(limitWindow.Seconds()*o.Rate()+float64(o.Burst())) + windowSlackCount
	return float64(o.Burst()) + leaderPart*slack, successorPart * slack
}

func newOrganisationBucket(terms *contract.Organisation, since, now time.Time) *organisationBucket {
	b := &organisationBucket{terms: terms, since: since, at: since, reserves: map[*account]*hostReserve{}}
	full, initial := sizes(terms)
	if now.Before(since.Add(reserveValidity + limitWindow)) {
		b.level = initial
		return b
	}
	b.at, b.level = now, full // no window has a request of a former leader's grants
	return b
}

// refresh brings the bucket to a time and to the terms in force.
func (b *organisationBucket) refresh(terms *contract.Organisation, now time.Time) {
	b.sweep(now)
	b.fill(now)
	b.terms = terms
	b.trim(b.size(now))
}

// size returns the most that the tokens in the bucket and at hosts add up to.
func (b *organisationBucket) size(now time.Time) float64 {
	full, initial := sizes(b.terms)
	if now.Before(b.since.Add(reserveValidity)) {
		return initial + float64(b.gone)
	}
	return full
}

// kept returns the tokens that are left to requests that wait, at whatever host. It rises no
// faster than a new leader's bucket is filled.
func (b *organisationBucket) kept(now time.Time) float64 {
	full, initial := sizes(b.terms)
	grown := max(now.Sub(b.since.Add(reserveValidity)), 0)
	return waitingPart * min(full, initial+b.terms.Rate()*grown.Seconds())
}

// fill adds the tokens of the time since the last call. A leader that has been in office
// for the validity of a reserve and one window adds what it has lacked only because it had
// to assume that hosts hold all that its predecessor could grant.
func (b *organisationBucket) fill(now time.Time) {
	full, initial := sizes(b.terms)
	if grown := b.since.Add(reserveValidity); b.at.Before(grown) {
		if now.Before(grown) {
			b.advance(now, initial+float64(b.gone))
			return
		}
		b.advance(grown, initial+float64(b.gone))
		b.ownAll()
		b.credit = max(full-b.sum(), 0)
	}
	b.advance(now, full)
	b.credit = min(b.credit, max(full-b.sum(), 0))
	if b.credit > 0 && !now.Before(b.since.Add(reserveValidity+limitWindow)) {
		b.level += b.credit
		b.credit = 0
	}
}

func (b *organisationBucket) advance(to time.Time, size float64) {
	if elapsed := to.Sub(b.at); elapsed > 0 {
		b.level += b.terms.Rate() * elapsed.Seconds()
		b.at = to
	}
	b.trim(size)
}

// sum returns the tokens that this leader answers for. Those that it adopted belong to the
// grants of former leaders as long as these may be in use.
func (b *organisationBucket) sum() float64 { return b.level + float64(b.held-b.adopted) }

// ownAll makes this leader answer for all that hosts hold.
func (b *organisationBucket) ownAll() {
	b.adopted, b.gone = 0, 0
	for _, l := range b.reserves {
		l.adopted = 0
	}
}

// adopt renews what a host holds of a former leader's grants, and reports whether it does.
// Adopted tokens that are gone no longer count among the former leader's, so that this one
// may grant as many. All of them leave room in the bucket for its own.
func (b *organisationBucket) adopt(l *hostReserve, held int, now time.Time) bool {
	full, initial := sizes(b.terms)
	b.held -= l.tokens // adopted in a call whose response was lost
	b.adopted -= l.adopted
	l.tokens, l.adopted = 0, 0
	if !now.Before(b.since.Add(reserveValidity)) || float64(b.gone+b.adopted+held) > full-initial {
		return held == 0
	}
	l.tokens, l.adopted = held, held
	b.held += held
	b.adopted += held
	return true
}

// set records what is left of a reserve. What this leader granted counts as spent first.
func (b *organisationBucket) set(l *hostReserve, tokens int) {
	adopted := min(l.adopted, tokens)
	b.held += tokens - l.tokens
	b.adopted += adopted - l.adopted
	b.gone += l.adopted - adopted
	l.tokens, l.adopted = tokens, adopted
}

// trim lowers the level so that the sum is at most the given one, but not below 0.
func (b *organisationBucket) trim(size float64) {
	if b.sum() > size {
		b.level = min(b.level, max(size-float64(b.held-b.adopted), 0))
	}
}

// sweep drops what hosts may no longer use.
func (b *organisationBucket) sweep(now time.Time) {
	for len(b.waitingGrants) > 0 && !b.waitingGrants[0].until.After(now) {
		b.held -= b.waitingGrants[0].tokens
		b.waitingGrants[0].expired = true
		b.waitingGrants = b.waitingGrants[1:]
	}
	if now.Sub(b.sweptAt) < sweepInterval {
		return
	}
	b.sweptAt = now
	for owner, l := range b.reserves {
		if !l.until.After(now) {
			b.set(l, 0)
			delete(b.reserves, owner)
		}
	}
}

// reserveOf returns the reserve of a host that calls, which makes it valid again.
func (b *organisationBucket) reserveOf(owner *account, now time.Time) *hostReserve {
	l := b.reserves[owner]
	if l == nil {
		l = &hostReserve{}
		b.reserves[owner] = l
	}
	l.until = now.Add(reserveValidity)
	return l
}

// state records what a host says that it holds, and takes back what it returns. The rest
// of what it held has been spent.
func (b *organisationBucket) state(l *hostReserve, held, returned int) (takenBack int) {
	if missing := l.tokens - held; missing < 0 {
		b.level += float64(missing) // had expired here, and the host may use them again
	} else {
		takenBack = min(missing, returned)
		b.level += float64(takenBack)
	}
	b.set(l, held)
	return takenBack
}

// grantWaiting grants up to n waiting requests.
func (b *organisationBucket) grantWaiting(n int, now time.Time) *waitingGrant {
	l := &waitingGrant{tokens: min(n, int(max(b.level, 0))), until: now.Add(waitingValidity)}
	if l.tokens > 0 {
		b.level -= float64(l.tokens)
		b.held += l.tokens
		b.waitingGrants = append(b.waitingGrants, l)
		b.promised = b.promised.Add(-b.timeOf(float64(l.tokens)))
	}
	return l
}

// reserve adds up to n tokens to a host's reserve. A host that has none gets one before
// others get more.
func (b *organisationBucket) reserve(l *hostReserve, n int, now time.Time) int {
	kept, first := b.kept(now), 0
	if l.tokens == 0 && b.level-kept >= 1 {
		first = 1
	}
	spare := int(max(b.level-float64(first)-firstPart*kept, 0))
	added := max(min(n, first+spare), 0)
	b.level -= float64(added)
	b.held += added
	l.tokens += added
	return added
}

// cancel undoes a call whose response the host has not got and never will. It states again
// what it returned then.
func (b *organisationBucket) cancel(owner *account, g pendingGrant, now time.Time) {
	if l := b.reserves[owner]; l != nil {
		b.set(l, l.tokens+g.takenBack-min(g.reserve, l.tokens))
	}
	b.level += float64(g.reserve - g.takenBack)
	if !g.waiting.expired {
		b.held -= g.waiting.tokens
	}
	b.level += float64(g.waiting.tokens)
	g.waiting.tokens = 0
	b.trim(b.size(now))
}

// refuse returns the time after which requests that were not granted may be. Requests
// refused at other hosts come first.
func (b *organisationBucket) refuse(n int, now time.Time) time.Duration {
	b.refusedAt = now
	if b.promised.Before(now) {
		b.promised = now
	}
	b.promised = b.promised.Add(b.timeOf(float64(n)))
	if latest := now.Add(maxPromised); b.promised.After(latest) {
		b.promised = latest
	}
	return max(b.timeOf(1-b.level), b.promised.Sub(now))
}

// timeOf returns the time in which the rate adds a number of tokens, at most an hour.
func (b *organisationBucket) timeOf(tokens float64) time.Duration {
	return time.Duration(min(tokens/b.terms.Rate(), time.Hour.Seconds()) * float64(time.Second))
}

// idle reports whether a new bucket would be the same.
func (b *organisationBucket) idle(now time.Time) bool {
	return b.held == 0 && !b.limited && b.credit == 0 && !now.Before(b.since.Add(reserveValidity+limitWindow)) && b.level >= b.size(now)
}
