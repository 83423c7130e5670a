package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is one request that reached an instance.
type arrival struct {
	at       time.Time
	instance string
	service  string
	conn     int64
	id       string
	method   string
	target   string
	body     string // digest
	length   int
	deadline string
	expected string
	header   http.Header
	from     string
	ran      bool
	status   int
}

// exchange is what a behaviour of an instance may use.
type exchange struct {
	i      *instance
	conn   net.Conn
	reader *bufio.Reader
	req    *http.Request
	seen   *arrival
	left   <-chan struct{} // closed when the caller closes the connection
}

// instance is a stand-in of a server. It speaks what PROTOCOL.md says.
type instance struct {
	id, service, address, zone string
	born                       int64
	slots                      int
	work                       time.Duration
	controls                   []*node
	records                    *record

	// behave answers a request in place of the usual answer. It returns false if the connection
	// cannot be used any more; handled is false for the usual answer.
	behave func(e *exchange) (handled, keep bool)
	hurt   func() bool // health fails

	listener net.Listener
	sequence atomic.Int64
	state    atomic.Pointer[string]
	stop     chan struct{}
	stopped  sync.Once

	mu       sync.Mutex
	running  int
	arrivals []*arrival
	conns    map[net.Conn]bool
	number   int64
}

func startInstance(f *fleet, id, service string, number int) (*instance, error) {
	address := fmt.Sprintf("%s%d:8080", f.net, number)
	return startInstanceAt(f, id, service, address)
}

func startInstanceAt(f *fleet, id, service, address string) (*instance, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	i := &instance{
		id: id, service: service, address: address, zone: "attica-a", born: time.Now().UnixMilli(), slots: 3, work: 20 * time.Millisecond,
		controls: f.of("control"), records: f.records, listener: listener, stop: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	ready := "ready"
	i.state.Store(&ready)
	go i.serve()
	go i.announce()
	return i, nil
}

// announce sends heartbeats.
func (i *instance) announce() {
	for n := 0; ; n++ {
		i.beat(n)
		select {
		case <-i.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (i *instance) body() []byte {
	text, _ := json.Marshal(object{
		"service": i.service, "address": i.address, "zone": i.zone, "version": "v1", "maxConcurrency": i.slots,
		"state": *i.state.Load(), "warmupLeftMs": 0, "sequence": i.sequence.Add(1), "born": i.born,
	})
	return text
}

// beat sends one heartbeat and returns whether it was acknowledged.
func (i *instance) beat(from int) bool {
	for n := range i.controls {
		c := i.controls[(from+n)%len(i.controls)]
		status, _ := call("POST", "http://"+c.ip+":"+portControl+"/v1/Instances.Heartbeat/"+i.id, i.body())
		if status/100 == 2 {
			return true
		}
	}
	return false
}

// drain reports that the instance drains, and returns when it was acknowledged.
func (i *instance) drain() time.Time {
	draining := "draining"
	i.state.Store(&draining)
	for !i.beat(0) {
		time.Sleep(100 * time.Millisecond)
	}
	i.records.add("instance %s: draining is acknowledged", i.id)
	return time.Now()
}

// end ends the instance as a crash does.
func (i *instance) end() {
	i.stopped.Do(func() {
		close(i.stop)
		_ = i.listener.Close()
		i.mu.Lock()
		defer i.mu.Unlock()
		for conn := range i.conns {
			_ = conn.Close()
		}
	})
}

func (i *instance) serve() {
	for {
		conn, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		i.conns[conn] = true
		i.number++
		number := i.number
		i.mu.Unlock()
		go func() {
			defer func() {
				_ = conn.Close()
				i.mu.Lock()
				delete(i.conns, conn)
				i.mu.Unlock()
			}()
			i.serveConn(conn, number)
		}()
	}
}

func digest(p []byte) string {
	sum := sha256.Sum256(p)
	return hex.EncodeToString(sum[:6])
}

func (i *instance) serveConn(conn net.Conn, number int64) {
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		seen := &arrival{
			at: time.Now(), instance: i.id, service: i.service, conn: number, id: req.Header.Get("Request-Id"), method: req.Method, target: req.RequestURI,
			deadline: req.Header.Get("Deadline-Ms"), expected: req.Header.Get("Expected-Instance"), header: req.Header.Clone(), from: conn.RemoteAddr().String(),
		}
		if req.URL.Path == "/healthz" && seen.id == "" {
			i.health(conn)
			continue
		}
		body, err := io.ReadAll(req.Body)
		seen.body, seen.length = digest(body), len(body)
		i.mu.Lock()
		i.arrivals = append(i.arrivals, seen)
		i.mu.Unlock()
		i.records.add("instance %s conn %d: %s %s id %s body %d %s deadline %s expected %s", i.id, number, seen.method, seen.target, seen.id, seen.length, seen.body, seen.deadline, seen.expected)
		if err != nil {
			return
		}
		switch {
		case seen.id == "":
			i.refuse(conn, seen, 400, "no-id")
			continue
		case seen.expected != "" && seen.expected != i.id:
			i.refuse(conn, seen, 421, "")
			continue
		}
		if i.behave != nil {
			handled, keep := i.behave(&exchange{i: i, conn: conn, reader: reader, req: req, seen: seen})
			if handled && !keep {
				return
			}
			if handled {
				continue
			}
		}
		if !i.run(conn, seen) {
			return
		}
	}
}

func (i *instance) load() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return fmt.Sprintf("%d,0,%d,100", i.running, i.slots)
}

func (i *instance) health(conn net.Conn) {
	status := "200 OK"
	if *i.state.Load() != "ready" || i.hurt != nil && i.hurt() {
		status = "503 Service Unavailable"
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nInstance-Id: %s\r\nInstance-Load: %s\r\nContent-Length: 0\r\n\r\n", status, i.id, i.load())
}

// refuse answers that the request has not run.
func (i *instance) refuse(conn net.Conn, seen *arrival, status int, reason string, more ...string) {
	seen.status = status
	extra := ""
	if reason != "" {
		extra = "Not-Executed: " + reason + "\r\n"
	}
	for _, line := range more {
		extra += line + "\r\n"
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sInstance-Load: %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), seen.id, extra, i.load())
}

// begin marks the request as run and occupies a slot; it reports false if the instance is full.
func (i *instance) begin(seen *arrival) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.running >= 3*i.slots {
		return false
	}
	i.running++
	seen.ran = true
	return true
}

func (i *instance) finish() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running--
}

func answerBody(id string) []byte {
	size := 1500
	text := make([]byte, 0, size)
	for len(text) < size {
		text = append(text, "answer to "+id+"; "...)
	}
	return text
}

func signature(id string) string { return "sig." + id }

// run answers a request as a sound instance does.
func (i *instance) run(conn net.Conn, seen *arrival) bool {
	if !i.begin(seen) {
		i.refuse(conn, seen, 503, "full")
		return true
	}
	defer i.finish()
	time.Sleep(i.work)
	seen.status = 200
	body := answerBody(seen.id)
	_, err := io.WriteString(conn, i.head(seen, 200, "Content-Length: "+strconv.Itoa(len(body)))+string(body))
	return err == nil
}

func (i *instance) head(seen *arrival, status int, lines ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nInstance-Load: %s\r\n", status, http.StatusText(status), seen.id, signature(seen.id), i.load())
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n"
}

func (i *instance) seen() []*arrival {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]*arrival(nil), i.arrivals...)
}
