// Command leftbehind has clients send uploads while all instances are busy. Some leave while their
// requests wait, and the instances record which of these requests come to them afterwards.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/review/third/harness"
)

const (
	// Two instances with 3 slots can run 23 requests a second.
	cycles         = 5
	leaveSeconds   = 4 // of a burst, from its begin
	burstSeconds   = 5
	calmSeconds    = 3
	burstPerSecond = 33
	calmPerSecond  = 21
	work           = 260 * time.Millisecond
	deadline       = 3 * time.Second
	aim            = 2 * time.Second // of the route, as the operator sets it
	// bodyBytes is the size of a photo.
	bodyBytes = 60_000
	// leavePerTen is how many of ten clients leave, and leaveAfter how long after they have sent
	// the whole request.
	leavePerTen = 3
	leaveAfter  = 300 * time.Millisecond
	// slack is the time that the rule allows after a client has left.
	slack = 500 * time.Millisecond
	// few is what the rule calls a few, at most.
	few = 10
)

func main() { os.Exit(harness.Main(run)) }

type clients struct {
	mu       sync.Mutex
	left     map[string]time.Time
	statuses map[int]int
}

func run(s *harness.Site, trouble bool) (held bool, err error) {
	members := []*harness.Node{s.Control(1), s.Control(2), s.Control(3)}
	fronts := []*harness.Node{s.Entry(1), s.Entry(2)}
	seeds := harness.Seeds(members...)
	for _, n := range append(append([]*harness.Node{}, fronts...), members...) {
		if err := n.Start(seeds, true); err != nil {
			return false, err
		}
	}
	route := harness.Route("r-1", "a.example", "/photo/", "upload", "photos", int(deadline.Milliseconds()), 2)
	route.Spec["targetLatencyMs"] = aim.Milliseconds()
	configuration := harness.Configuration(3, harness.Service("photos"), route, harness.Limits())
	if _, ok := s.Put(configuration, 20*time.Second, members...); !ok {
		return false, errors.New("the configuration is not acknowledged")
	}
	var instances []*harness.Instance
	for n := range 2 {
		slots := harness.NewSlots(3)
		i, err := s.StartInstanceWithRoom(fmt.Sprintf("i-%d", n+1), "photos", 15+n, 18_080, slots, members, func(i *harness.Instance, conn net.Conn, r *http.Request, body []byte) bool {
			id := r.Header.Get("Request-Id")
			if !slots.Begin(harness.DeadlineOf(r)) {
				i.Ran(r, body, true)
				return i.Refuse(conn, id, "")
			}
			defer slots.Finish()
			i.Ran(r, body, false)
			time.Sleep(work)
			return i.Answer(conn, id, http.StatusOK, "", []byte("ok"))
		})
		if err != nil {
			return false, err
		}
		defer i.Crash()
		instances = append(instances, i)
	}
	ready := func() bool {
		return instances[0].Acknowledged() && instances[1].Acknowledged() && fronts[0].Ready() && fronts[1].Ready()
	}
	if !harness.Eventually(10*time.Second, ready) {
		return false, errors.New("the deployment is not ready")
	}
	time.Sleep(3 * time.Second)
	c := &clients{left: map[string]time.Time{}, statuses: map[int]int{}}
	var group sync.WaitGroup
	n := 0
	sendFor := func(seconds, perSecond int, leave bool) {
		for range seconds * perSecond {
			time.Sleep(time.Second / time.Duration(perSecond))
			at := n
			group.Go(func() { c.send(s, fronts[at%2], at, leave && at%10 < leavePerTen) })
			n++
		}
	}
	for range cycles {
		sendFor(leaveSeconds, burstPerSecond, trouble)
		sendFor(burstSeconds-leaveSeconds, burstPerSecond, false)
		sendFor(calmSeconds, calmPerSecond, false)
	}
	group.Wait()
	time.Sleep(deadline)
	return c.judge(s, instances)
}

// send sends one upload. A client that leaves closes its connection before it has an answer.
func (c *clients) send(s *harness.Site, front *harness.Node, n int, leaves bool) {
	conn, err := net.DialTimeout("tcp", front.FrontAddress(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id := fmt.Sprintf("%016x", n+1)
	request := []byte(fmt.Sprintf("POST /photo/%d HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", n, id, deadline.Milliseconds(), bodyBytes) + strings.Repeat("p", bodyBytes))
	if !leaves {
		reply := harness.Exchange(conn, bufio.NewReader(conn), http.MethodPost, request, deadline)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.statuses[reply.Status]++
		return
	}
	started := time.Now()
	_, err = conn.Write(request)
	sent := time.Now()
	time.Sleep(leaveAfter)
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left[id] = time.Now()
	s.Note("client: %s through %s was sent in %.3f s (error: %v) and left %.3f s later", id, front.Name(), sent.Sub(started).Seconds(), err, time.Since(sent).Seconds())
}

func (c *clients) judge(s *harness.Site, instances []*harness.Instance) (held bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	late, ran := 0, 0
	for _, i := range instances {
		for _, r := range i.AllRuns() {
			at, gone := c.left[r.ID]
			if !gone || r.At.Sub(at) <= slack {
				continue
			}
			late++
			if !r.Refused {
				ran++
			}
			s.Note("instance %s: got %s %.3f s after its client had left, ran it: %v", i.ID, r.ID, r.At.Sub(at).Seconds(), !r.Refused)
		}
	}
	s.Note("%d clients left; %d of their requests reached an instance over %v later, %d of these ran; the others' answers by status, 0 for none: %v", len(c.left), late, slack, ran, c.statuses)
	if c.statuses[http.StatusOK] < cycles*burstSeconds*burstPerSecond/10 {
		return false, errors.New("too few requests were answered")
	}
	return late <= few, nil
}
