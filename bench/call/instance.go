package call

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Fault is how an instance behaves.
type Fault int

// Faults of an instance.
const (
	Well      Fault = iota
	DieBefore       // closes the link before it runs the request
	DieAfter        // runs it and closes the link
	Slow            // runs it after the deadline
	Shed            // refuses before it starts
	Cut             // answers half
	Gone            // does not accept

)

// instance counts executions.
type instance struct {
	slow time.Duration

	mu       sync.Mutex
	fault    Fault
	byKey    map[string]int
	byID     map[string]int
	listener *listener
}

func newInstance(slow time.Duration) *instance {
	return &instance{slow: slow, byKey: map[string]int{}, byID: map[string]int{}}
}

func (i *instance) set(fault Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = fault
}

func (i *instance) current() Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.fault
}

func (i *instance) count(key, id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.byKey[key]++
	i.byID[id]++
}

func (i *instance) runs(key, id string) (ofKey, ofID int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.byKey[key], i.byID[id]
}

// ServeHTTP runs a request, or fails as it was told.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	fault := i.current()
	if err != nil || fault == DieBefore || fault == Gone {
		panic(http.ErrAbortHandler)
	}
	if fault == Shed {
		w.Header().Set("Snipebeam-Not-Started", "shed")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fault == Slow {
		time.Sleep(i.slow)
	}
	i.count(r.Header.Get(keyHeader), r.Header.Get(idHeader))
	if fault == DieAfter {
		panic(http.ErrAbortHandler)
	}
	answer := answerTo(r.URL.Path, r.Header.Get(keyHeader), r.Header.Get(idHeader), string(data))
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	if fault == Cut {
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
}

// answerTo is the one right answer to a request. That of a request with a key
// is the same for each resend.
func answerTo(path, key, id, body string) string {
	if key != "" {
		id = "any"
	}
	return "path " + path + " key " + key + " id " + id + " body " + body + "\n"
}
