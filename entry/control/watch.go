package control

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Wait times and timeouts of the watch.
const (
	longPollWait    = 3 * time.Second
	longPollTimeout = longPollWait + 2*time.Second // the control host may take a second to confirm with its quorum
	// The primary responds often, so that a hung one is detected well within the
	// two seconds in which a drain must reach every entry host.
	primaryPollWait     = 500 * time.Millisecond
	primaryPollTimeout  = primaryPollWait + 700*time.Millisecond
	unconfirmedPollWait = 200 * time.Millisecond
	minRetryDelay       = 25 * time.Millisecond
	maxRetryDelay       = 400 * time.Millisecond
	// versionDelay is the time from a new version to the next poll, so that versions
	// in quick succession are sent together and not by every control host. Control
	// hosts must see polls more often than the grace that they give between two.
	versionDelay  = 100 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// A version must be in force within two seconds of its acceptance. The other
	// second is for the next poll.
	maxFirstConfirmAge = time.Second
	lateConfirmLimit   = 3 * time.Second
)

// Watch keeps the rules table at the newest version. It polls every control
// host concurrently: the first one that has applied a version delivers it, so
// that a failed, partitioned or stale control host cannot delay it, and every
// control host receives this host's report.
type Watch struct {
	client *http.Client
	seeds  func() []string
	table  *rules.Table
	report func() *wire.HostReport
	join   func(seeds []*wire.GossipHost)
	logger hclog.Logger

	rates       func(rates []*wire.ServiceRate)
	members     Membership
	restore     func(previous *wire.HostReport)
	restoreOnce sync.Once
	rateLimits  func(limits []*wire.RateLimit)
	admissions  func(admissions []*wire.Admission, age time.Duration)
	relays      func(addresses []string)
	isolated    func()

	zone         string
	mu           sync.Mutex
	primary      *polledHost // sends changes of instances
	polled       map[string]*polledHost
	group        []string      // addresses of the control group's members, as last received
	groupChanged chan struct{} // signals a change of the group; has room for one signal
	lateSince    time.Time     // of the first confirmation that came too late, zero for none
}

// polledHost is one control host, polled by its own goroutine.
type polledHost struct {
	address            string
	rules              wire.Rules
	suspectsRevision   uint64 // revision of the suspects last received from it
	isolations         uint64 // as last received from it
	rateLimitsRevision uint64 // revision of the rate limits last received from it
	reported           reportedSuspects
	needsFullText      bool // the next poll requests the full rules text, not a delta
	zone               string
	healthy            bool          // the last poll succeeded and it has a quorum
	polls              uint64        // polls so far
	again              chan struct{} // signals that it is to be polled at once; has room for one signal
}

// NewWatch returns a watch of the control hosts that seeds currently returns,
// and of the members of their group that they report. The report function
// describes this host at each poll; join is called with other entry hosts.
func NewWatch(seeds func() []string, client *http.Client, table *rules.Table, report func() *wire.HostReport, join func([]*wire.GossipHost), logger hclog.Logger, opts ...WatchOption) *Watch {
	w := &Watch{client: client, seeds: seeds, table: table, report: report, join: join, logger: logger.Named("control"), polled: map[string]*polledHost{}, groupChanged: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// hostsRefreshInterval is how often the set of control hosts is refreshed
// without a reported change of the group, since the seeds may be reconfigured.
const hostsRefreshInterval = time.Second

// Run polls until the context ends.
func (w *Watch) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	cancels := map[string]context.CancelFunc{}
	ticker := time.NewTicker(hostsRefreshInterval)
	defer ticker.Stop()
	for {
		wanted := w.Hosts()
		for address, cancel := range cancels {
			if !slices.Contains(wanted, address) {
				cancel()
				delete(cancels, address)
			}
		}
		for _, address := range wanted {
			if cancels[address] != nil {
				continue
			}
			hostCtx, cancel := context.WithCancel(ctx)
			cancels[address] = cancel
			host := w.newHost(address)
			w.addHost(host)
			group.Go(func() {
				defer w.removeHost(host)
				w.pollLoop(hostCtx, host)
			})
		}
		select {
		case <-ctx.Done():
			for _, cancel := range cancels {
				cancel()
			}
			return
		case <-w.groupChanged:
		case <-ticker.C:
		}
	}
}

func (w *Watch) newHost(address string) *polledHost {
	return &polledHost{address: address, again: make(chan struct{}, 1), rules: wire.NewRulesProtobufClient("http://"+address, w.client)}
}

// pollLoop polls one control host until the context ends. A host that becomes the
// primary, or missed a report, is polled again at once. The poll that is pending then goes
// on, since it may bring a version on a connection that works while no other can be
// opened. Of several such polls only the oldest goes on.
func (w *Watch) pollLoop(ctx context.Context, host *polledHost) {
	var pending sync.WaitGroup
	defer pending.Wait()
	failing, delay := false, minRetryDelay
	var replaced chan pollResult // of the poll that goes on beside the latest
	endReplaced := func() {}
	for ctx.Err() == nil {
		poll := w.beginPoll(host)
		endReplaced() // after the next poll has begun, so that its end does not count
		endReplaced = func() {}
		results := make(chan pollResult, 1)
		pollCtx, cancel := context.WithCancel(ctx)
		pending.Go(func() {
			defer cancel()
			results <- w.poll(pollCtx, host, poll)
		})
		var result pollResult
		select {
		case <-host.again:
			if replaced == nil || len(replaced) > 0 {
				replaced = results
			} else {
				endReplaced = cancel
			}
			continue
		case result = <-results:
		}
		if ctx.Err() != nil {
			return
		}
		if err := result.err; (err != nil) != failing {
			failing = err != nil
			w.logger.Info("control host", "address", host.address, "answers", !failing, "error", err)
		}
		if result.err == nil {
			delay = minRetryDelay
			pause.For(ctx, result.change.delay())
			continue
		}
		pause.For(ctx, delay+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// pollResult is the end of one poll.
type pollResult struct {
	change versionChange
	err    error
}

func (w *Watch) poll(ctx context.Context, host *polledHost, poll pendingPoll) pollResult {
	known, polledAt := w.table.Current(), time.Now()
	wait, timeout := w.pollWait(), longPollTimeout
	if poll.primary && known.Number() > 0 { // receiving the first version may take longer
		wait = min(wait, primaryPollWait)
		if !poll.only || w.table.Confirmed() { // nothing else can confirm the first version
			timeout = primaryPollTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report := w.report()
	report.Suspects = w.unreportedSuspects(host, report.GetSuspects(), polledAt)
	request := &wire.WatchRequest{Report: report, KnownVersion: known.Number(), WaitMs: wait.Milliseconds(), Whole: poll.whole, NoSeeds: w.members != nil}
	if poll.primary {
		request.Instances, request.KnownInstances, request.KnownSuspects = true, w.members.Revision(), poll.knownSuspects
		request.KnownIsolations, request.KnownEvacuations = poll.knownIsolations, w.members.EvacuationsRevision()
	}
	// One control host is enough. Without a primary, others repeat the news.
	if w.rateLimits != nil && (poll.primary || w.members == nil) {
		request.RateLimits, request.KnownRateLimits = true, poll.knownRateLimits
	}
	response, err := host.rules.Watch(ctx, request)
	w.recordPoll(host, poll, response)
	w.recordSuspects(host, report.GetSuspects(), polledAt, err)
	if err != nil {
		return pollResult{err: err}
	}
	result := pollResult{change: w.versionChangeOf(response, known)}
	w.applyResponse(response, poll.primary)
	w.applyAdmissions(response, time.Since(polledAt))
	if result.err = w.applyVersion(response, known, polledAt); result.err != nil {
		w.requestFullText(host)
		w.logger.Error("failed to put version in force", "version", response.GetVersion().GetNumber(), "error", result.err)
	}
	return result
}

func (w *Watch) requestFullText(host *polledHost) {
	w.mu.Lock()
	defer w.mu.Unlock()
	host.needsFullText = true
}

// pollWait returns the wait time of a long poll. It is short while a version
// from a stale response is not confirmed by a quorum, since this host accepts
// no callers before that.
func (w *Watch) pollWait() time.Duration {
	if w.table.Current().Number() > 0 && !w.table.Confirmed() {
		return unconfirmedPollWait
	}
	return longPollWait
}
