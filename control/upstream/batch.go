package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Limits of a batch.
const (
	maxBatch  = 256
	maxQueued = 2048 // announcements that wait for a batch
	// batchTimeout bounds the commit of one batch. Instances ask another control host
	// after a second.
	batchTimeout = 2 * time.Second
	// maxBatchWait is how long announcements wait for the batch in flight before another
	// one starts beside it. The leader that the first one waits for may be lost.
	maxBatchWait = 200 * time.Millisecond
)

// errBusy means that too many announcements wait to be committed.
var errBusy = errors.New("too many announcements wait to be committed")

// batcher commits announcements to the replicated log. Those that arrive while a batch is in
// flight share the next one, so that hundreds of instances that start together take a few
// commits.
type batcher struct {
	log agreement.Log

	mu       sync.Mutex
	queue    []*queued
	inFlight int
	timer    *time.Timer // starts a batch beside those in flight
}

// queued is an announcement that waits for its commit.
type queued struct {
	ctx    context.Context
	cmd    *wire.Command
	result *wire.AnnouncementResult
	err    error
	done   chan struct{}
}

func newBatcher(log agreement.Log) *batcher { return &batcher{log: log} }

// commit returns the result of the last of some announcements once they are committed, as
// one command. After an error they may still be committed later.
func (b *batcher) commit(ctx context.Context, announcements ...*wire.Instance) (*wire.AnnouncementResult, error) {
	commands := make([]*wire.Command, 0, len(announcements))
	for _, m := range announcements {
		commands = append(commands, &wire.Command{At: time.Now().UnixNano(), Body: &wire.Command_Announce{Announce: &wire.Announcement{Instance: m}}})
	}
	q := &queued{ctx: ctx, cmd: together(commands), done: make(chan struct{})}
	if !b.enqueue(q) {
		return nil, errBusy
	}
	select {
	case <-q.done:
		return q.result, errors.Wrap(q.err, "commit announcement")
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "commit announcement")
	}
}

func (b *batcher) enqueue(q *queued) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= maxQueued {
		return false
	}
	b.queue = append(b.queue, q)
	switch {
	case b.inFlight == 0:
		b.start()
	case b.timer == nil:
		b.timer = time.AfterFunc(maxBatchWait, b.startLate)
	}
	return true
}

func (b *batcher) startLate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
}

func (b *batcher) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.start()
}

// start starts the next batch, without the announcements whose callers are gone. The caller
// holds the lock.
func (b *batcher) start() {
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	var batch []*queued
	for len(b.queue) > 0 && len(batch) < maxBatch {
		if q := b.queue[0]; q.ctx.Err() == nil {
			batch = append(batch, q)
		}
		b.queue = b.queue[1:]
	}
	if len(batch) == 0 {
		return
	}
	b.inFlight++
	if len(b.queue) > 0 {
		b.timer = time.AfterFunc(maxBatchWait, b.startLate)
	}
	go func() {
		defer b.end()
		b.propose(batch)
	}()
}

func (b *batcher) propose(batch []*queued) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	result, err := b.log.Propose(ctx, commandOf(batch))
	for n, q := range batch {
		of := result
		if len(batch) > 1 && err == nil {
			of = result.GetBatch().GetResults()[n]
		}
		if results := of.GetBatch().GetResults(); len(results) > 0 {
			of = results[len(results)-1]
		}
		q.result, q.err = of.GetAnnounce(), err
		close(q.done)
	}
}

func commandOf(batch []*queued) *wire.Command {
	commands := make([]*wire.Command, 0, len(batch))
	for _, q := range batch {
		commands = append(commands, q.cmd)
	}
	return together(commands)
}

// together returns one command for all of them.
func together(commands []*wire.Command) *wire.Command {
	if len(commands) == 1 {
		return commands[0]
	}
	return &wire.Command{At: commands[0].GetAt(), Body: &wire.Command_Batch{Batch: &wire.CommandBatch{Commands: commands}}}
}
