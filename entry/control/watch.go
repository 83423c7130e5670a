package control

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Times of the watch.
const (
	watchWait  = time.Second
	watchLimit = 5 * time.Second
	retryPause = 200 * time.Millisecond
)

// Watch keeps the rules table at the newest version.
type Watch struct {
	client *Client
	table  *rules.Table
	report func() *wire.HostReport
	logger hclog.Logger
	join   func(seeds []*wire.GossipHost)
}

// NewWatch returns a watch; report describes this host at each poll, and join
// is told other entry hosts.
func NewWatch(client *Client, table *rules.Table, report func() *wire.HostReport, join func([]*wire.GossipHost), logger hclog.Logger) *Watch {
	return &Watch{client: client, table: table, report: report, join: join, logger: logger.Named("control")}
}

// Run polls until the context ends.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.poll(ctx); err != nil {
			w.logger.Warn("no control host answers", "error", err)
			pause(ctx, retryPause)
		}
	}
}

func (w *Watch) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	response, err := w.client.Watch(ctx, &wire.WatchRequest{
		Report: w.report(), KnownVersion: w.table.Current().Number(), WaitMs: watchWait.Milliseconds(),
	})
	if err != nil {
		return err
	}
	w.take(response)
	return nil
}

func (w *Watch) take(response *wire.WatchResponse) {
	w.join(response.GetSeeds())
	if response.GetStale() {
		return
	}
	changed, err := w.table.Advance(response.GetVersion(), response.GetText())
	if err != nil {
		w.logger.Error("a version cannot be put in force", "error", err)
		return
	}
	w.table.Confirm(time.Now())
	if changed {
		w.logger.Info("version in force", "version", response.GetVersion().GetNumber(), "author", response.GetVersion().GetAuthor())
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
