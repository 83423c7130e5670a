package intake

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
)

// runtimePart is the part of the memory that the Go runtime may use for everything before
// it collects garbage more often than it would by itself.
const runtimePart = 0.6

// The room that the runtime is left above what is live, whatever the memory: without it,
// the runtime collects garbage all the time when the live heap comes near to the limit. Its
// own bound on that, half of the processors that it sees, is no bound for a host that has a
// small part of one. Collections with this room cost up to eight times those without a
// limit.
const (
	liveRoom    = 8  // divides the live heap
	reservePart = 32 // of the limit, which the runtime keeps free below it
)

// runtimeLimits is the limit of the process's runtime.
var runtimeLimits struct {
	mu    sync.Mutex
	floor int64 // the limit where the live heap is small, 0 before LimitRuntime
	armed bool
}

// LimitRuntime makes the Go runtime collect garbage before the process exceeds the
// memory, if what is live leaves room for that. It bounds nothing by itself.
func LimitRuntime(memory int64) {
	if memory <= 0 {
		return
	}
	runtimeLimits.mu.Lock()
	runtimeLimits.floor = int64(runtimePart * float64(memory))
	armed := runtimeLimits.armed
	runtimeLimits.armed = true
	runtimeLimits.mu.Unlock()
	adjustRuntime()
	if !armed {
		adjustAfterCollection()
	}
}

// collection is an object that the next collection of garbage finds unused.
type collection struct{ _ [64]byte }

// adjustAfterCollection adjusts the limit after each collection of garbage.
func adjustAfterCollection() {
	runtime.SetFinalizer(new(collection), func(*collection) {
		adjustRuntime()
		adjustAfterCollection()
	})
}

// adjustRuntime sets the limit for what is live now. A change of the limit stops the
// program for a moment, so small reductions are left out.
func adjustRuntime() {
	const minChange = 64 // divides the limit
	live, other := usedMemory()
	runtimeLimits.mu.Lock()
	defer runtimeLimits.mu.Unlock()
	limit, current := runtimeLimit(runtimeLimits.floor, live, other), debug.SetMemoryLimit(-1)
	if limit == runtimeLimits.floor || limit > current || limit < current-current/minChange {
		debug.SetMemoryLimit(limit)
	}
}

// runtimeLimit returns the limit for a heap of which a part is live and the memory that the
// runtime uses beside the heap.
func runtimeLimit(floor, live, other int64) int64 {
	least := live + live/liveRoom + other
	return max(floor, least+least/reservePart)
}

// usedMemory returns the live heap as of the last collection, and what the runtime uses
// beside the heap.
func usedMemory() (live, other int64) {
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"},
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
		{Name: "/memory/classes/heap/free:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
	}
	metrics.Read(samples)
	value := func(n int) int64 { return int64(samples[n].Value.Uint64()) }
	return value(0), max(value(1)-value(2)-value(3)-value(4), 0)
}
