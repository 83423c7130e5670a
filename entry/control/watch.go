package control

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Times of the watch.
const (
	watchWait  = 3 * time.Second
	watchLimit = watchWait + 2*time.Second // the control host may ask its quorum for a second
	// The primary answers often, so that one that stands still is noticed well
	// within the two seconds in which a drain must be known.
	primaryWait  = 500 * time.Millisecond
	primaryLimit = primaryWait + 700*time.Millisecond
	firstWait    = 200 * time.Millisecond
	retryFirst   = 25 * time.Millisecond
	retryLast    = 400 * time.Millisecond
	leaveLimit   = 500 * time.Millisecond
)

// Watch keeps the rules table at the newest version. It polls every control
// host at the same time: the first one that has applied a version tells it, so
// no control host that failed, is cut off or is stale can hold it back, and
// each one has this host's report.
type Watch struct {
	client *http.Client
	seeds  func() []string
	table  *rules.Table
	report func() *wire.HostReport
	join   func(seeds []*wire.GossipHost)
	logger hclog.Logger

	rates    func(rates []*wire.ServiceRate)
	members  Membership
	adopt    func(previous *wire.HostReport)
	adopting sync.Once

	zone     string
	mu       sync.Mutex
	primary  *watched // that tells of instances
	followed map[string]*watched
	group    []string      // addresses of the group's members, as they were told last
	told     chan struct{} // holds one when the group changed
}

// WatchOption changes one property of a watch.
type WatchOption func(*Watch)

// WithRates is told the services' rates with each answer.
func WithRates(rates func(rates []*wire.ServiceRate)) WatchOption {
	return func(w *Watch) { w.rates = rates }
}

// WithRestore is told the last report of this host before its restart, once.
func WithRestore(adopt func(previous *wire.HostReport)) WatchOption {
	return func(w *Watch) { w.adopt = adopt }
}

// Membership takes what control hosts tell of instances and suspects.
type Membership interface {
	// Revision returns the revision of the newest record of an instance.
	Revision() uint64
	// Apply takes records of instances, oldest first, up to a revision.
	Apply(instances []*wire.Instance, revision uint64)
	// AddSuspects takes fingerprints of requests that cost instances.
	AddSuspects(suspects []*wire.Suspect)
	// SetActiveHosts takes the number of entry hosts that serve one name.
	SetActiveHosts(hosts int)
}

// WithMembership learns instances and suspects from the control hosts.
func WithMembership(m Membership) WatchOption { return func(w *Watch) { w.members = m } }

// watched is one control host, followed by one goroutine.
type watched struct {
	address  string
	rules    wire.Rules
	suspects uint64 // revision of the suspects that it told last
	whole    bool   // the next version is to be told whole
	zone     string
	healthy  bool                    // it answered last, and has a quorum
	cancel   context.CancelCauseFunc // ends the poll that waits; guarded by the watch's lock
}

// NewWatch returns a watch of the control hosts that seeds names now, and of
// those that they name as members of their group; report describes this host at each poll, and join is told other entry hosts.
func NewWatch(seeds func() []string, client *http.Client, table *rules.Table, report func() *wire.HostReport, join func([]*wire.GossipHost), logger hclog.Logger, opts ...WatchOption) *Watch {
	w := &Watch{client: client, seeds: seeds, table: table, report: report, join: join, logger: logger.Named("control"), followed: map[string]*watched{}, told: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// hostsInterval is how often the control hosts to watch are looked at when
// nobody tells of a change: the seeds may be set anew.
const hostsInterval = time.Second

// Run polls until the context ends.
func (w *Watch) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	followed := map[string]context.CancelFunc{}
	ticker := time.NewTicker(hostsInterval)
	defer ticker.Stop()
	for {
		wanted := w.hosts()
		for address, stop := range followed {
			if !slices.Contains(wanted, address) {
				stop()
				delete(followed, address)
			}
		}
		for _, address := range wanted {
			if followed[address] != nil {
				continue
			}
			hostCtx, stop := context.WithCancel(ctx)
			followed[address] = stop
			host := w.host(address)
			w.enter(host)
			group.Go(func() {
				defer w.leave(host)
				w.follow(hostCtx, host)
			})
		}
		select {
		case <-ctx.Done():
			for _, stop := range followed {
				stop()
			}
			return
		case <-w.told:
		case <-ticker.C:
		}
	}
}

func (w *Watch) host(address string) *watched {
	return &watched{address: address, rules: wire.NewRulesProtobufClient("http://"+address, w.client)}
}

// hosts returns the control hosts to watch: the seeds, and the members of the
// group.
func (w *Watch) hosts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := append(w.seeds(), w.group...)
	slices.Sort(all)
	return slices.Compact(all)
}

// learnGroup takes the members that a control host with a quorum named.
func (w *Watch) learnGroup(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	slices.Sort(addresses)
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Equal(addresses, w.group) {
		return
	}
	w.group = addresses
	w.logger.Info("control group", "hosts", addresses)
	select {
	case w.told <- struct{}{}:
	default:
	}
}

// follow polls one control host.
func (w *Watch) follow(ctx context.Context, host *watched) {
	silent, retry := false, retryFirst
	for ctx.Err() == nil {
		err := w.poll(ctx, host)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != silent {
			silent = err != nil
			w.logger.Info("control host", "address", host.address, "answers", !silent, "error", err)
		}
		if err == nil {
			retry = retryFirst
			continue
		}
		pause.For(ctx, retry+rand.N(retry))
		retry = min(2*retry, retryLast)
	}
}

// Report tells every control host this host's state at once.
func (w *Watch) Report(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	var group sync.WaitGroup
	for _, address := range w.hosts() {
		group.Go(func() {
			// A control host that does not hear it learns it with the next poll, or
			// shows this host as silent.
			_, _ = w.host(address).rules.Watch(ctx, &wire.WatchRequest{Report: w.report(), KnownVersion: w.table.Current().Number()})
		})
	}
	group.Wait()
}

func (w *Watch) poll(ctx context.Context, host *watched) error {
	known := w.table.Current()
	ctx, primary := w.begin(ctx, host)
	wait, limit := w.wait(), watchLimit
	if primary && known.Number() > 0 { // the first version may take longer
		wait, limit = min(wait, primaryWait), primaryLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request := &wire.WatchRequest{Report: w.report(), KnownVersion: known.Number(), WaitMs: wait.Milliseconds(), Whole: host.whole}
	if primary {
		request.Instances, request.KnownInstances, request.KnownSuspects = true, w.members.Revision(), host.suspects
	}
	response, err := host.rules.Watch(ctx, request)
	if errors.Is(context.Cause(ctx), errElected) {
		return nil
	}
	if err != nil {
		w.judge(host, false, "")
		return err
	}
	w.judge(host, response.GetQuorum(), response.GetZone())
	host.whole = false
	w.learn(host, response, primary)
	if err := w.take(response, known); err != nil {
		host.whole = true
		w.logger.Error("a version cannot be put in force", "version", response.GetVersion().GetNumber(), "error", err)
		return err
	}
	return nil
}

// learn takes what an answer tells beside the rules.
func (w *Watch) learn(host *watched, response *wire.WatchResponse, primary bool) {
	w.join(response.GetSeeds())
	if primary {
		w.members.Apply(response.GetInstances(), response.GetInstancesRevision())
		w.members.AddSuspects(response.GetSuspects())
		w.members.SetActiveHosts(int(response.GetActiveHosts()))
		host.suspects = response.GetSuspectsRevision()
	}
	if !response.GetStale() {
		w.learnGroup(response.GetControlHosts())
	}
	// A control host that is cut off, or has just started, heard few reports.
	if rates := response.GetRates(); w.rates != nil && !response.GetStale() && len(rates) > 0 {
		w.rates(rates)
	}
	if previous := response.GetPrevious(); previous != nil && w.adopt != nil {
		w.adopting.Do(func() { w.adopt(previous) })
	}
}

// wait is short while a quorum has not confirmed the version that a stale
// answer brought, since this host takes no callers before.
func (w *Watch) wait() time.Duration {
	if w.table.Current().Number() > 0 && !w.table.Confirmed() {
		return firstWait
	}
	return watchWait
}
