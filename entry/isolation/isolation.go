// Package isolation detects that this host reaches no instance, while callers and other
// hosts may still reach it.
//
// A failure that may come from this host's side makes the detector open connections to
// instances. The host is isolated once none of several different ones accepts, while another
// machine does, and no longer once two do. If no machine accepts, the host is overloaded or cut
// off altogether, and other hosts cannot help.
//
// Usage:
//
//	d := isolation.New(pool.CanConnect, views, isolation.WithReference(peers))
//	go d.Run(ctx, func(isolated bool) { ... })
//	d.SuspectLink()
//	if d.Isolated() { ... }
package isolation

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/pause"
)

const (
	connectTimeout = 150 * time.Millisecond
	// suspects is the number of instances that must all refuse or not answer.
	suspects = 4
	// references is the number of other machines of which one must accept.
	references = 3
	// confirmations is the number of instances that end an isolation.
	confirmations = 2
	// checkInterval is the least time between two checks.
	checkInterval = 250 * time.Millisecond
	// recentContact is the time after a response for which a failed link is blamed on its
	// instance.
	recentContact = 400 * time.Millisecond
)

var (
	checks    = metrics.GetOrCreateCounter("snipebeam_isolation_checks_total")
	overloads = metrics.GetOrCreateCounter("snipebeam_isolation_checks_inconclusive_total")
	entered   = metrics.GetOrCreateCounter("snipebeam_isolations_total")
)

// ConnectFunc reports whether a connection to an address can be opened.
type ConnectFunc func(ctx context.Context, address string) bool

// reachFor is the time for which the result of Reaches is used again.
const reachFor = 100 * time.Millisecond

// Detector detects that this host reaches no instance.
type Detector struct {
	connect   ConnectFunc
	views     *route.Views
	reference func() []string
	isolated  atomic.Bool
	contact   atomic.Int64 // time of the last response of any instance, Unix nanoseconds
	wake      chan struct{}

	reachMu sync.Mutex
	reachAt time.Time
	reaches bool
}

// Option configures a detector.
type Option func(*Detector)

// WithReference sets the function that returns the addresses of other machines that are no
// instances. Without one, this host is not taken for overloaded.
func WithReference(addresses func() []string) Option {
	return func(d *Detector) { d.reference = addresses }
}

// New returns a detector for the instances of the views.
func New(connect ConnectFunc, views *route.Views, opts ...Option) *Detector {
	d := &Detector{connect: connect, views: views, wake: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Isolated reports whether this host reaches no instance.
func (d *Detector) Isolated() bool { return d.isolated.Load() }

// Contact records a response of an instance.
func (d *Detector) Contact() { d.contact.Store(time.Now().UnixNano()) }

// SuspectLink records that an instance did not respond on an open link. It has no effect
// if another one responded recently.
func (d *Detector) SuspectLink() {
	if time.Now().UnixNano()-d.contact.Load() >= int64(recentContact) {
		d.SuspectConnect()
	}
}

// SuspectConnect records that no link to an instance could be opened, or that other hosts
// reach none. Responses on links that are open say nothing about new ones.
func (d *Detector) SuspectConnect() {
	select {
	case d.wake <- struct{}{}:
	default: // a check is due already
	}
}

// Reaches reports whether this host reaches an instance other than the one at the given
// address. It reports true if there is no other one.
func (d *Detector) Reaches(ctx context.Context, except string) bool {
	if d.Isolated() {
		return false
	}
	d.reachMu.Lock()
	defer d.reachMu.Unlock()
	if time.Since(d.reachAt) < reachFor {
		return d.reaches
	}
	targets := slices.DeleteFunc(d.targets(suspects+1), func(address string) bool { return address == except })
	d.reaches = len(targets) == 0 || d.reached(ctx, targets[:min(len(targets), suspects)]) > 0
	d.reachAt = time.Now()
	return d.reaches
}

// Run checks until the context ends, for the first time at once: a host that starts within a
// partition would otherwise learn of it from the first callers. It calls changed after each
// change.
func (d *Detector) Run(ctx context.Context, changed func(isolated bool)) {
	d.SuspectLink()
	for {
		if !d.Isolated() {
			select {
			case <-ctx.Done():
				return
			case <-d.wake:
			}
		}
		before := d.Isolated()
		if d.check(ctx); d.Isolated() != before {
			changed(!before)
		}
		if !pause.For(ctx, checkInterval) {
			return
		}
	}
}

func (d *Detector) check(ctx context.Context) {
	if d.Isolated() {
		if targets := d.targets(confirmations); len(targets) > 0 && d.reached(ctx, targets) == len(targets) {
			d.set(ctx, false)
		}
		return
	}
	targets := d.targets(suspects)
	if len(targets) == 0 || d.reached(ctx, targets[:1]) > 0 {
		return
	}
	others := make(chan bool, 1)
	go func() { others <- d.reachesOthers(ctx) }()
	if reached := d.reached(ctx, targets[1:]); <-others && reached == 0 {
		d.set(ctx, true)
	}
}

// reachesOthers reports whether a machine that is no instance accepts a connection.
func (d *Detector) reachesOthers(ctx context.Context) bool {
	if d.reference == nil {
		return true
	}
	addresses := d.reference()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if len(addresses) == 0 || d.reached(ctx, addresses[:min(len(addresses), references)]) > 0 {
		return true
	}
	overloads.Inc()
	return false
}

func (d *Detector) set(ctx context.Context, isolated bool) {
	if ctx.Err() != nil {
		return
	}
	if isolated {
		entered.Inc()
	}
	d.isolated.Store(isolated)
}

// reached returns how many of the addresses accept a connection.
func (d *Detector) reached(ctx context.Context, addresses []string) int {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		checks.Inc()
		go func() { results <- d.connect(ctx, address) }()
	}
	n := 0
	for range addresses {
		if <-results {
			n++
		}
	}
	return n
}

// targets returns the addresses of up to n instances, of different services first.
func (d *Detector) targets(n int) []string {
	var services [][]string
	for _, view := range d.views.All() {
		var addresses []string
		for _, m := range view.Members() {
			addresses = append(addresses, m.Instance().Address())
		}
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		services = append(services, addresses)
	}
	rand.Shuffle(len(services), func(i, j int) { services[i], services[j] = services[j], services[i] })
	var targets []string
	for round := 0; len(targets) < n; round++ {
		before := len(targets)
		for _, addresses := range services {
			if round < len(addresses) && len(targets) < n {
				targets = append(targets, addresses[round])
			}
		}
		if len(targets) == before {
			break
		}
	}
	return targets
}
