// Package instance describes one back-end server of a service, as it announces
// itself to the entry hosts.
//
// Usage:
//
//	i := instance.New("catalogue-1", "catalogue", "127.0.0.1:9001", instance.WithZone("shawinigan"))
//	if i.Draining() { ... }
package instance

import (
	"strconv"
	"strings"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Defaults for values that an instance does not announce.
const (
	DefaultSlots    = 3
	DefaultMaxLinks = 500
)

// MaxWarmup is the longest time for which an instance may state that it stays cold. A
// longer one is taken as this one, so that a wrong figure does not limit it for good.
const MaxWarmup = time.Hour

// ID identifies an instance and is unique in the whole system.
type ID string

// Instance is an immutable record of one announcement.
type Instance struct {
	id          ID
	service     string
	address     string
	zone        string
	slots       int
	maxLinks    int
	cold        bool
	warmupLeft  time.Duration
	draining    bool
	incarnation uint64
	warmupSeq   uint64
}

// Option sets one property of an instance.
type Option func(*Instance)

// New returns an instance with default values, changed by the options.
func New(id ID, service, address string, opts ...Option) *Instance {
	i := &Instance{id: id, service: service, address: address, slots: DefaultSlots, maxLinks: DefaultMaxLinks}
	for _, opt := range opts {
		opt(i)
	}
	return i
}

// WithZone sets the availability zone.
func WithZone(zone string) Option { return func(i *Instance) { i.zone = zone } }

// WithSlots sets how many requests the instance runs concurrently.
func WithSlots(n int) Option { return func(i *Instance) { i.slots = n } }

// WithMaxLinks sets how many persistent connections the instance accepts.
func WithMaxLinks(n int) Option { return func(i *Instance) { i.maxLinks = n } }

// WithCold sets whether the instance has just started and is still warming up.
func WithCold(cold bool) Option { return func(i *Instance) { i.cold = cold } }

// WithWarmupLeft sets for how long the instance stays cold from its announcement on; 0
// means that it did not state this.
func WithWarmupLeft(d time.Duration) Option { return func(i *Instance) { i.warmupLeft = d } }

// WithDraining sets whether the instance accepts no new requests.
func WithDraining(draining bool) Option { return func(i *Instance) { i.draining = draining } }

// WithIncarnation sets the number that the instance increments on each start.
func WithIncarnation(n uint64) Option { return func(i *Instance) { i.incarnation = n } }

// WithWarmupSequence sets the sequence number of the announcement that stated the cold time.
func WithWarmupSequence(n uint64) Option { return func(i *Instance) { i.warmupSeq = n } }

// FromWire converts a wire message. Slots and max links of zero take the
// defaults.
func FromWire(m *wire.Instance) *Instance {
	i := New(ID(m.GetId()), m.GetService(), m.GetAddress(),
		WithZone(m.GetZone()), WithCold(m.GetCold()), WithDraining(m.GetDraining()),
		WithIncarnation(m.GetIncarnation()), WithWarmupLeft(min(time.Duration(max(m.GetWarmupLeftNs(), 0)), MaxWarmup)))
	if i.cold && i.warmupLeft > 0 { // any other change of the number alone is no change of the record
		i.warmupSeq = m.GetSequence()
	}
	if m.GetSlots() > 0 {
		i.slots = int(m.GetSlots())
	}
	if m.GetMaxLinks() > 0 {
		i.maxLinks = int(m.GetMaxLinks())
	}
	return i
}

// ID returns the instance's unique name.
func (i *Instance) ID() ID { return i.id }

// Service returns the service that the instance belongs to.
func (i *Instance) Service() string { return i.service }

// Address returns the host and port that accept requests.
func (i *Instance) Address() string { return i.address }

// Zone returns the availability zone.
func (i *Instance) Zone() string { return i.zone }

// Slots returns how many requests the instance runs concurrently.
func (i *Instance) Slots() int { return i.slots }

// MaxLinks returns how many persistent connections the instance accepts.
func (i *Instance) MaxLinks() int { return i.maxLinks }

// Cold reports whether the instance has just started and is still warming up.
func (i *Instance) Cold() bool { return i.cold }

// WarmupLeft returns for how long the instance stays cold from its announcement on, 0 if
// it did not state this.
func (i *Instance) WarmupLeft() time.Duration { return i.warmupLeft }

// WarmupSequence returns the sequence number of the announcement that stated the cold time,
// 0 if none did. It tells two cold times of the same length apart.
func (i *Instance) WarmupSequence() uint64 { return i.warmupSeq }

// Draining reports whether the instance accepts no new requests.
func (i *Instance) Draining() bool { return i.draining }

// Incarnated returns the identifier together with the incarnation.
func (i *Instance) Incarnated() string {
	if i.incarnation == 0 {
		return string(i.id)
	}
	return string(i.id) + "/" + strconv.FormatUint(i.incarnation, 10)
}

// SplitIncarnated returns the parts of an identifier with its incarnation, 0 for none.
func SplitIncarnated(incarnated string) (id string, incarnation uint64) {
	at := strings.LastIndexByte(incarnated, '/')
	if at < 0 {
		return incarnated, 0
	}
	n, err := strconv.ParseUint(incarnated[at+1:], 10, 64)
	if err != nil {
		return incarnated, 0
	}
	return incarnated[:at], n
}

// Incarnation returns the number that the instance increments on each start.
func (i *Instance) Incarnation() uint64 { return i.incarnation }
