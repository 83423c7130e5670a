package upstream

import (
	"net/http"
	"sync"
)

// executions counts the executions of each idempotency key.
type executions struct {
	mu    sync.Mutex
	byKey map[string]int
}

func newExecutions() *executions { return &executions{byKey: map[string]int{}} }

func (e *executions) count(key string) {
	if key == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byKey[key]++
}

// Counts returns a copy of the number of executions by key.
func (e *executions) Counts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]int, len(e.byKey))
	for key, n := range e.byKey {
		counts[key] = n
	}
	return counts
}

func (e *executions) list(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) }
