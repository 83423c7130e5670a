package call

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Fault is how an instance handles requests.
type Fault int

// Faults of an instance.
const (
	Healthy     Fault = iota
	CloseBefore       // closes the connection before it runs the request
	CloseAfter        // runs the request and closes the connection
	Slow              // runs the request after the deadline
	Shed              // rejects the request before it runs it
	Truncate          // runs the request and sends half of the response
	CrashAfter        // runs the request, then closes all connections and goes down
	Down              // accepts no connections

)

// instance is an upstream instance that counts executions.
type instance struct {
	slowDelay time.Duration

	mu       sync.Mutex
	fault    Fault
	byKey    map[string]int
	byID     map[string]int
	listener *listener
}

func newInstance(slow time.Duration) *instance {
	return &instance{slowDelay: slow, byKey: map[string]int{}, byID: map[string]int{}}
}

func (i *instance) setFault(fault Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = fault
}

func (i *instance) currentFault() Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.fault
}

func (i *instance) crash() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = Down
	i.listener.kill()
}

func (i *instance) setListener(l *listener) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.listener = l
}

func (i *instance) count(key, id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.byKey[key]++
	i.byID[id]++
}

func (i *instance) executions(key, id string) (ofKey, ofID int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.byKey[key], i.byID[id]
}

// ServeHTTP runs a request, or fails according to the current fault.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	fault := i.currentFault()
	if err != nil || fault == CloseBefore || fault == Down {
		panic(http.ErrAbortHandler)
	}
	if fault == Shed {
		w.Header().Set("Snipebeam-Not-Started", "shed")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fault == Slow {
		time.Sleep(i.slowDelay)
	}
	i.count(r.Header.Get(keyHeader), r.Header.Get(idHeader))
	if fault == CrashAfter {
		i.crash()
	}
	if fault == CloseAfter || fault == CrashAfter {
		panic(http.ErrAbortHandler)
	}
	response := expectedBody(r.URL.Path, r.Header.Get(keyHeader), r.Header.Get(idHeader), string(data))
	w.Header().Set("Content-Length", fmt.Sprint(len(response)))
	if fault == Truncate {
		response = response[:len(response)/2]
	}
	_, _ = io.WriteString(w, response)
}

// expectedBody returns the only correct response body to a request. With a key, it
// is the same for each resend.
func expectedBody(path, key, id, body string) string {
	if key != "" {
		id = "any"
	}
	return "path " + path + " key " + key + " id " + id + " body " + body + "\n"
}
