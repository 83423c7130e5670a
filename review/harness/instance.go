package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one request that an instance began to run.
type Run struct {
	ID, Method, Path, Service, Instance string
	At                                  time.Time
}

// Instance is a stand-in of a sound instance: it announces itself and answers requests.
type Instance struct {
	ID, Service, Address string
	Work                 time.Duration
	// Spoil returns the bytes that the instance sends instead of its n-th answer, counted from 1,
	// to a request, before it closes the connection; nil: the answer is sound.
	Spoil        func(n int64, id string) []byte
	served       atomic.Int64
	system       *System
	zone         string
	born         int64
	runs         *Runs
	sequence     int
	server       *http.Server
	conns        sync.Map
	down         atomic.Bool
	acknowledged atomic.Int64
}

// Runs holds what all instances have run.
type Runs struct {
	mu  sync.Mutex
	all []Run
}

func (r *Runs) add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, run)
}

// All returns the runs so far.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run{}, r.all...)
}

// StartInstance starts an instance at the n-th address for stand-ins.
func (s *System) StartInstance(n int, service, zone string, work time.Duration, runs *Runs, spoil func(n int64, id string) []byte) (*Instance, error) {
	i := &Instance{
		ID: fmt.Sprintf("i-%s-%d", service, n), Service: service, Work: work,
		system: s, zone: zone, born: time.Now().UnixMilli(), runs: runs, Spoil: spoil,
	}
	listener, err := net.Listen("tcp", s.Address(n)+":0")
	if err != nil {
		return nil, err
	}
	i.Address = listener.Addr().String()
	i.server = &http.Server{Handler: http.HandlerFunc(i.serve), ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			i.conns.Delete(c)
			return
		}
		i.conns.Store(c, true)
	}}
	go func() { _ = i.server.Serve(listener) }()
	go i.announce()
	return i, nil
}

// Crash ends the instance: its connections are reset and new ones refused.
func (i *Instance) Crash() {
	i.down.Store(true)
	i.system.Record.Line("instance %s of %s crashes", i.ID, i.Service)
	_ = i.server.Close()
	i.conns.Range(func(c, _ any) bool {
		_ = c.(net.Conn).Close()
		return true
	})
}

func (i *Instance) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Load", "0,0,3,100")
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", i.ID)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != i.ID {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.runs.add(Run{ID: id, Method: r.Method, Path: r.URL.RequestURI(), Service: i.Service, Instance: i.ID, At: time.Now()})
	i.system.Record.Line("run: request %s %s %s at %s of %s, from %s", id, r.Method, r.URL.RequestURI(), i.ID, i.Service, r.RemoteAddr)
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(i.Work)
	if n := i.served.Add(1); i.Spoil != nil {
		if wrong := i.Spoil(n, id); wrong != nil {
			i.system.Record.Line("spoiled: instance %s ran request %s and sends %q", i.ID, id, wrong)
			i.send(w, wrong)
			return
		}
	}
	h.Set("Response-Signature", "sig."+id)
	_, _ = fmt.Fprintf(w, "run by %s of %s\n", i.ID, i.Service)
}

// send sends bytes in place of an answer, and closes the connection.
func (i *Instance) send(w http.ResponseWriter, wrong []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write(wrong)
	_ = conn.Close()
}

// announce sends heartbeats to one control host after the other.
func (i *Instance) announce() {
	client := &http.Client{Timeout: time.Second}
	for n := 0; !i.down.Load(); {
		i.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": i.Service, "address": i.Address, "zone": i.zone, "version": "v1", "maxConcurrency": 3,
			"state": "ready", "warmupLeftMs": 0, "sequence": i.sequence, "born": i.born,
		})
		host := i.system.Controls[n%len(i.system.Controls)]
		response, err := client.Post("http://"+host.ControlAddress()+"/v1/Instances.Heartbeat/"+i.ID, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		if err != nil || response.StatusCode != http.StatusOK {
			n++
			time.Sleep(100 * time.Millisecond)
			continue
		}
		i.acknowledged.Add(1)
		time.Sleep(1500 * time.Millisecond)
	}
}

// Acknowledged returns the number of heartbeats that were acknowledged.
func (i *Instance) Acknowledged() int64 { return i.acknowledged.Load() }
