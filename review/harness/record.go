// Package harness runs the deployed programs as processes on loopback, with
// stand-ins for the platform's instances, clients and operator.
package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the protocol of one run: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the record at a path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Line adds a line with the seconds since the begin of the run.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// Close ends the record.
func (r *Record) Close() { _ = r.file.Close() }
