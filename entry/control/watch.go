package control

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/delta"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Times of the watch.
const (
	watchWait  = 3 * time.Second
	watchLimit = watchWait + 2*time.Second // the control host may ask its quorum for a second
	firstWait  = 200 * time.Millisecond
	retryPause = 200 * time.Millisecond
	leaveLimit = 500 * time.Millisecond
)

// errDigest means that a text is not the one that was accepted.
var errDigest = errors.New("the text's digest is not the version's")

// Watch keeps the rules table at the newest version. It polls every control
// host at the same time: the first one that has applied a version tells it, so
// no control host that failed, is cut off or is stale can hold it back, and
// each one has this host's report.
type Watch struct {
	hosts  []watched
	table  *rules.Table
	report func() *wire.HostReport
	join   func(seeds []*wire.GossipHost)
	logger hclog.Logger

	rates    func(rates []*wire.ServiceRate)
	adopt    func(previous *wire.HostReport)
	adopting sync.Once
}

// WatchOption changes one property of a watch.
type WatchOption func(*Watch)

// WithRates is told the services' rates with each answer.
func WithRates(rates func(rates []*wire.ServiceRate)) WatchOption {
	return func(w *Watch) { w.rates = rates }
}

// WithAdopt is told the last report of this host before its restart, once.
func WithAdopt(adopt func(previous *wire.HostReport)) WatchOption {
	return func(w *Watch) { w.adopt = adopt }
}

// watched is one control host.
type watched struct {
	address string
	rules   wire.Rules
}

// NewWatch returns a watch of the control hosts at the addresses; report
// describes this host at each poll, and join is told other entry hosts.
func NewWatch(addresses []string, client *http.Client, table *rules.Table, report func() *wire.HostReport, join func([]*wire.GossipHost), logger hclog.Logger, opts ...WatchOption) *Watch {
	w := &Watch{table: table, report: report, join: join, logger: logger.Named("control")}
	for _, address := range addresses {
		w.hosts = append(w.hosts, watched{address: address, rules: wire.NewRulesProtobufClient("http://"+address, client)})
	}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Run polls until the context ends.
func (w *Watch) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, host := range w.hosts {
		group.Go(func() { w.follow(ctx, host) })
	}
	group.Wait()
}

// follow polls one control host.
func (w *Watch) follow(ctx context.Context, host watched) {
	silent, whole := false, &atomic.Bool{}
	for ctx.Err() == nil {
		err := w.poll(ctx, host, whole)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != silent {
			silent = err != nil
			w.logger.Info("control host", "address", host.address, "answers", !silent, "error", err)
		}
		if err != nil {
			pause.For(ctx, retryPause+rand.N(retryPause))
		}
	}
}

// Leave reports once more to every control host, after Run has ended.
func (w *Watch) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	var group sync.WaitGroup
	for _, host := range w.hosts {
		group.Go(func() {
			// A control host that does not hear it shows this host as silent.
			_, _ = host.rules.Watch(ctx, &wire.WatchRequest{Report: w.report(), KnownVersion: w.table.Current().Number()})
		})
	}
	group.Wait()
}

func (w *Watch) poll(ctx context.Context, host watched, whole *atomic.Bool) error {
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	known := w.table.Current()
	response, err := host.rules.Watch(ctx, &wire.WatchRequest{
		Report: w.report(), KnownVersion: known.Number(), WaitMs: w.wait().Milliseconds(), Whole: whole.Load(),
	})
	if err != nil {
		return err
	}
	whole.Store(false)
	w.join(response.GetSeeds())
	// A control host that is cut off, or has just started, heard few reports.
	if rates := response.GetRates(); w.rates != nil && !response.GetStale() && len(rates) > 0 {
		w.rates(rates)
	}
	if previous := response.GetPrevious(); previous != nil && w.adopt != nil {
		w.adopting.Do(func() { w.adopt(previous) })
	}
	if err := w.take(response, known); err != nil {
		whole.Store(true)
		w.logger.Error("a version cannot be put in force", "version", response.GetVersion().GetNumber(), "error", err)
		return err
	}
	return nil
}

// wait is short while a quorum has not confirmed the version that a stale
// answer brought, since this host takes no callers before.
func (w *Watch) wait() time.Duration {
	if w.table.Current().Number() > 0 && !w.table.Learned() {
		return firstWait
	}
	return watchWait
}

// take puts a newer version in force. A stale answer may bring one, since it
// was accepted by a quorum once, but confirms nothing.
func (w *Watch) take(response *wire.WatchResponse, known *rules.InForce) error {
	version := response.GetVersion()
	if version.GetNumber() > w.table.Current().Number() {
		if err := w.advance(response, known); err != nil {
			return err
		}
	}
	if !response.GetStale() && version.GetNumber() > 0 {
		w.table.Confirm(version.GetNumber(), time.Now().Add(-time.Duration(response.GetConfirmAgeNs())))
	}
	return nil
}

func (w *Watch) advance(response *wire.WatchResponse, known *rules.InForce) error {
	text, err := textOf(response, known)
	if err != nil {
		return err
	}
	changed, err := w.table.Advance(response.GetVersion(), text)
	if err != nil {
		return err
	}
	if changed {
		w.logger.Info("version in force", "version", response.GetVersion().GetNumber(), "author", response.GetVersion().GetAuthor(), "from", response.GetServedBy())
	}
	return nil
}

func textOf(response *wire.WatchResponse, known *rules.InForce) (string, error) {
	text := response.GetText()
	if len(response.GetDelta()) > 0 {
		var err error
		if text, err = delta.Apply(known.Text(), response.GetDelta()); err != nil {
			return "", err
		}
	}
	if delta.Digest(text) != response.GetVersion().GetDigest() {
		return "", errDigest
	}
	return text, nil
}
