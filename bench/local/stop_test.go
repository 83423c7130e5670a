package local_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/bench/local"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

// stopRules has deadlines that are longer than a planned stop.
const stopRules = `service a: owner O # w: y
route a POST /once: deadline 30s, once Idempotency-Key # w: y
route a: deadline 30s # w: y`

// Sizes of a body that the host buffers before it sends it, and of one that it
// streams.
const (
	bufferBytes  = 1 << 10
	smallBytes   = bufferBytes
	largeBytes   = 64 * bufferBytes
	plainRequest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"
	onceRequest  = "POST /once HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx"
)

// sendInterval is the time between the bytes of a caller that goes on sending.
const sendInterval = 20 * time.Millisecond

// longerThanAStop is the duration of a request that a planned stop could not wait for.
const longerThanAStop = 2 * time.Second

// stopping is an entry host whose planned stop is short, with an instance that
// never responds.
type stopping struct {
	local.Entry
	control  string
	instance *silentInstance
}

// startStopping starts the host, and lets the test run in parallel with others.
// The instance is announced last, because its lease is not renewed.
func startStopping(t *testing.T, more local.Settings) *stopping {
	control := local.StartControl(t, nil)
	submitText(t, control, http.DefaultClient, stopRules)
	settings := local.Settings{
		"host.stopLimitSeconds": "6", "host.leaveSeconds": "0.1", "limits.bufferBytes": fmt.Sprint(bufferBytes),
		"route.headroom": "0", // an instance with one slot takes one request
	}
	maps.Copy(settings, more)
	h := &stopping{Entry: local.StartEntry(t, control, settings), control: control, instance: startSilent(t)}
	local.Ready(t, h.Entry)
	t.Parallel()
	h.instance.announce(t, h.Entry)
	return h
}

// waitInFlight waits until the host handles n requests.
func (h *stopping) waitInFlight(t *testing.T, n uint32) {
	client := wire.NewEntryProtobufClient("http://"+h.Peers, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	local.Eventually(t, "the requests are in flight", func() bool {
		status, err := client.HostStatus(t.Context(), &wire.HostStatusRequest{})
		return err == nil && status.GetReport().GetInFlight() == n
	})
}

// silentInstance is an instance with one slot that does not respond before it is
// released.
type silentInstance struct {
	address  string
	received atomic.Int32 // requests whose header has been read
	release  func()
}

func startSilent(t *testing.T) *silentInstance {
	released := make(chan struct{})
	i := &silentInstance{release: sync.OnceFunc(func() { close(released) })}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		i.received.Add(1)
		<-released
	}))
	i.address = server.Listener.Addr().String()
	t.Cleanup(func() {
		i.release()
		server.Close()
	})
	return i
}

func (i *silentInstance) announce(t *testing.T, entry local.Entry) {
	must.NoError(t, announceSlots(t.Context(), http.DefaultClient, entry.Platform, i.address, 1))
}

func (i *silentInstance) waitReceived(t *testing.T, n int32) {
	local.Eventually(t, "the instance has received the request", func() bool { return i.received.Load() == n })
}

// answer is what a caller received.
type answer struct {
	status int
	header http.Header
	err    error // the response is missing or truncated
}

// openCaller is a caller that keeps its connection open.
type openCaller struct {
	conn    *net.TCPConn
	answers chan answer
}

// connect opens a caller's connection, and closes it when the test ends.
func connect(t *testing.T, address string) *openCaller {
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &openCaller{conn: conn.(*net.TCPConn), answers: make(chan answer, 1)}
	go func() { c.answers <- readAnswer(conn) }()
	return c
}

// sendOn opens a caller's connection and sends bytes on it.
func sendOn(t *testing.T, address, text string) *openCaller {
	c := connect(t, address)
	c.send(t, text)
	return c
}

func readAnswer(conn net.Conn) answer {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	_, err = io.Copy(io.Discard, response.Body)
	return answer{status: response.StatusCode, header: response.Header, err: err}
}

func (c *openCaller) send(t *testing.T, text string) {
	_, err := c.conn.Write([]byte(text))
	must.NoError(t, err)
}

// received returns what the caller has received when the process of its host
// ends. Bytes that arrived before are still read, as after a real exit.
func (c *openCaller) received() answer {
	_ = c.conn.CloseRead() // an error means that the connection has failed already
	return <-c.answers
}

// mustHave asserts that the caller has a complete response with an outcome.
func (a answer) mustHave(t *testing.T, kind outcome.Kind) {
	t.Helper()
	must.NoError(t, a.err, must.Sprint("the caller has no complete response"))
	must.Eq(t, string(kind), a.header.Get(outcome.Header))
	if kind == outcome.NotRun {
		must.Eq(t, http.StatusServiceUnavailable, a.status)
		must.NotEq(t, "", a.header.Get("Retry-After"))
		return
	}
	must.GreaterEq(t, http.StatusBadRequest, a.status)
	must.Eq(t, "", a.header.Get("Retry-After"))
}

func TestPlannedStopAnswersARequestWhoseInstanceStaysSilent(t *testing.T) {
	h := startStopping(t, nil)
	caller := sendOn(t, h.Callers, plainRequest)
	h.instance.waitReceived(t, 1)

	stopped := h.Stop()

	got := caller.received()
	got.mustHave(t, outcome.Unknown)
	must.GreaterEq(t, http.StatusInternalServerError, got.status)
	must.NoError(t, stopped)
}

// holds are the ways in which a host can hold a request. Each sends requests and
// returns when the last of them, whose caller is returned, is held.
var holds = []struct {
	name       string
	hold       func(t *testing.T, h *stopping) *openCaller
	want       outcome.Kind
	dispatched int32 // requests that the instance receives
}{
	{
		"queued", func(t *testing.T, h *stopping) *openCaller {
			sendOn(t, h.Callers, plainRequest)
			h.instance.waitReceived(t, 1)
			caller := sendOn(t, h.Callers, plainRequest)
			h.waitInFlight(t, 2)
			return caller
		}, outcome.NotRun, 1,
	},
	{
		"receiving a small body", func(t *testing.T, h *stopping) *openCaller {
			caller := sendOn(t, h.Callers, halfUpload(smallBytes))
			h.waitInFlight(t, 1)
			return caller
		}, outcome.NotRun, 0,
	},
	{
		"streaming a large body", func(t *testing.T, h *stopping) *openCaller {
			caller := sendOn(t, h.Callers, halfUpload(largeBytes))
			h.instance.waitReceived(t, 1)
			return caller
		}, outcome.Unknown, 1,
	},
	{
		"claim held by another", func(t *testing.T, h *stopping) *openCaller {
			other := local.StartEntry(t, h.control, local.Settings{"host.name": "entry-2"})
			local.Ready(t, other)
			h.instance.announce(t, other)
			sendOn(t, other.Callers, onceRequest)
			h.instance.waitReceived(t, 1)
			caller := sendOn(t, h.Callers, onceRequest)
			h.waitInFlight(t, 1)
			return caller
		}, outcome.Unknown, 1, // the holder of the claim may have run it
	},
	{
		"claimed and silent", func(t *testing.T, h *stopping) *openCaller {
			caller := sendOn(t, h.Callers, onceRequest)
			h.instance.waitReceived(t, 1)
			return caller
		}, outcome.Unknown, 1,
	},
}

// halfUpload returns a request with half of its body.
func halfUpload(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length) + strings.Repeat("x", length/2)
}

func TestPlannedStopAnswersEveryRequestItHolds(t *testing.T) {
	t.Parallel()
	for _, c := range holds {
		t.Run(c.name, func(t *testing.T) {
			h := startStopping(t, nil)
			caller := c.hold(t, h)

			stopped := h.Stop()

			caller.received().mustHave(t, c.want)
			must.Eq(t, c.dispatched, h.instance.received.Load())
			must.NoError(t, stopped)
		})
	}
}

// A caller that has not sent most of its body gets a response, and its connection
// does not prolong the stop.
func TestCallersThatGoOnSendingDoNotProlongAPlannedStop(t *testing.T) {
	t.Parallel()
	for name, length := range map[string]int{
		"body that is buffered": smallBytes, "body that is streamed": largeBytes, "body larger than the server drains": 1 << 20,
	} {
		t.Run(name, func(t *testing.T) {
			h := startStopping(t, local.Settings{"host.stopLimitSeconds": "6"})
			caller := sendOn(t, h.Callers, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length))
			h.waitInFlight(t, 1)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for sent := 1; sent < length; sent++ {
					if _, err := caller.conn.Write([]byte("x")); err != nil || !pause.For(t.Context(), sendInterval) {
						return
					}
				}
			}()

			stopped := h.Stop()

			got := caller.received()
			_ = caller.conn.Close()
			<-ended
			must.NoError(t, got.err, must.Sprint("the caller has no complete response"))
			must.NotEq(t, "", got.header.Get(outcome.Header))
			must.GreaterEq(t, http.StatusInternalServerError, got.status)
			must.NoError(t, stopped)
		})
	}
}

// A request that arrives when the listener has closed, on a connection accepted
// before, is refused although the host still waits for another.
func TestPlannedStopRefusesARequestAfterTheListenerHasClosed(t *testing.T) {
	h := startStopping(t, local.Settings{"host.stopLimitSeconds": "20", "route.headroom": "1"})
	held := sendOn(t, h.Callers, plainRequest)
	h.instance.waitReceived(t, 1)
	late, idle := connect(t, h.Callers), sendOn(t, h.Callers, "GET / HTTP/1.1\r\nHost: b\r\n\r\n")
	must.Eq(t, http.StatusNotFound, (<-idle.answers).status)
	// Connections are accepted in order, so the response shows that late is accepted.
	must.Eq(t, http.StatusNotFound, raw(t, h.Callers, "GET / HTTP/1.1\r\nHost: b\r\n\r\n"))
	stopped := make(chan error, 1)
	go func() { stopped <- h.Stop() }()
	local.Eventually(t, "the listener is closed", func() bool {
		conn, err := net.Dial("tcp", h.Callers)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})

	must.NoError(t, idle.conn.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err := idle.conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF, must.Sprint("an idle connection stays open"))
	late.send(t, plainRequest)
	local.Eventually(t, "the late request has an outcome", func() bool {
		return len(late.answers) == 1 || h.instance.received.Load() > 1
	})
	must.Eq(t, 1, h.instance.received.Load(), must.Sprint("the late request was sent to an instance"))
	must.Eq(t, 0, len(held.answers))
	(<-late.answers).mustHave(t, outcome.NotRun)

	h.instance.release()
	must.NoError(t, <-stopped)
	got := held.received()
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
}

// A request whose response is not expected before the end of the stop is refused
// at once, although an instance is free.
func TestPlannedStopRefusesARequestThatIsExpectedToLastLonger(t *testing.T) {
	h := startStopping(t, local.Settings{"host.stopLimitSeconds": "2", "host.leaveSeconds": "1.5", "route.headroom": "1"})
	first := sendOn(t, h.Callers, plainRequest)
	h.instance.waitReceived(t, 1)
	pause.For(t.Context(), longerThanAStop)
	h.instance.release()
	must.Eq(t, http.StatusOK, (<-first.answers).status)
	h.instance.announce(t, h.Entry) // renews its lease
	stopped := make(chan error, 1)
	go func() { stopped <- h.Stop() }()
	local.Eventually(t, "the host leaves", func() bool {
		response, err := http.Get("http://" + h.Platform + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode != http.StatusOK
	})

	got := <-sendOn(t, h.Callers, plainRequest).answers

	got.mustHave(t, outcome.NotRun)
	must.Eq(t, string(outcome.HostStopping), got.header.Get(outcome.ReasonHeader))
	must.Eq(t, 1, h.instance.received.Load())
	must.NoError(t, <-stopped)
}

func TestConnectionsWithoutARequestDoNotProlongAPlannedStop(t *testing.T) {
	h := startStopping(t, nil)
	connect(t, h.Callers)
	sendOn(t, h.Callers, "GET / HTTP/1.1\r\nHo")
	// Connections are accepted in order, so the response shows that they are accepted.
	must.Eq(t, http.StatusNotFound, raw(t, h.Callers, "GET / HTTP/1.1\r\nHost: b\r\n\r\n"))

	must.NoError(t, h.Stop())
}
