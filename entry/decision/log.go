package decision

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// queueLength is the capacity of the queue, in lines.
const queueLength = 8192

// dropReportInterval is the interval of reports of dropped lines.
const dropReportInterval = 10 * time.Second

// Log writes decisions asynchronously from a queue.
type Log struct {
	logger        hclog.Logger
	queue         chan *Decision
	recent        *recent
	counters      outcomeCounters
	dropped       atomic.Uint64
	reportedDrops uint64 // dropped lines already reported
}

// NewLog returns a log that writes through the logger.
func NewLog(logger hclog.Logger) *Log {
	return &Log{logger: logger.Named("decision"), queue: make(chan *Decision, queueLength), recent: newRecent()}
}

// Write queues a line, or counts it as dropped if the queue is full. The
// decision must not be changed afterwards.
func (l *Log) Write(d *Decision) {
	l.counters.count(d)
	select {
	case l.queue <- d:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of dropped lines.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Find returns a retained decision by its ID, or nil.
func (l *Log) Find(id string) *Decision { return l.recent.find(id) }

// Run writes queued lines until the context ends, and then flushes the queue.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case d := <-l.queue:
			l.emit(d)
		case <-ticker.C:
			l.reportDropped()
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	for {
		select {
		case d := <-l.queue:
			l.emit(d)
		default:
			l.reportDropped()
			return
		}
	}
}

func (l *Log) reportDropped() {
	dropped := l.dropped.Load()
	if dropped == l.reportedDrops {
		return
	}
	l.logger.Warn("decision lines dropped", "count", dropped-l.reportedDrops, "total", dropped)
	l.reportedDrops = dropped
}

func (l *Log) emit(d *Decision) {
	l.recent.add(d)
	l.logger.Info(string(d.Kind), "decision", d)
}
