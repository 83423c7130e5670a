package intake

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestRuntimeLimitLeavesRoomAboveWhatIsLive(t *testing.T) {
	must.Eq(t, 100<<20, runtimeLimit(100<<20, 40<<20, 10<<20))
	for _, live := range []int64{90 << 20, 200 << 20} {
		const other = 10 << 20
		must.GreaterEq(t, live+live/8+other, runtimeLimit(100<<20, live, other))
	}
	must.LessEq(t, 280<<20, runtimeLimit(168<<20, 200<<20, 20<<20), must.Sprint("a control host with 200 MB of state"))
}

var kept []byte

// Guards against a host whose live heap exceeds its part of the memory: the size at which
// the next collection of garbage ends would be that of the live heap, so that collections
// follow each other without a pause.
func TestALiveHeapBeyondTheLimitLeavesRoomBetweenCollections(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() {
		runtimeLimits.mu.Lock()
		defer runtimeLimits.mu.Unlock()
		runtimeLimits.floor = before
		debug.SetMemoryLimit(before)
		kept = nil
	})
	const (
		liveBytes = 64 << 20
		room      = liveBytes / 16 // half of what the limit leaves, because the memory beside the heap changes
		hang      = 10 * time.Second
	)
	LimitRuntime(liveBytes)
	kept = make([]byte, liveBytes)
	goal := []metrics.Sample{{Name: "/gc/heap/goal:bytes"}}
	for deadline := time.Now().Add(hang); ; time.Sleep(time.Millisecond) {
		runtime.GC()
		metrics.Read(goal)
		if goal[0].Value.Uint64() >= liveBytes+room {
			return
		}
		must.True(t, time.Now().Before(deadline), must.Sprintf("%d bytes are live, the next collection ends at %d", liveBytes, goal[0].Value.Uint64()))
	}
}
