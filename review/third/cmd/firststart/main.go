// Command firststart loses one control machine for good while the whole system starts for the
// first time, and adds its successor.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/snipebeam/snipebeam/review/third/harness"
)

const (
	// othersAfter is the time from the start of the first machine to that of the others. By the pages
	// all start within 0.3 s of each other.
	othersAfter = 200 * time.Millisecond
	// lostAfter is the time from the start of the first machine to its loss.
	lostAfter = 100 * time.Millisecond
	// addedAfter is the time from the loss to the start of the successor.
	addedAfter = time.Second
	// orderFor is how long the operator repeats the first configuration. By the pages the
	// successor needs catchUpS, 4 s, and the service at most recoveryS, 15 s, after that.
	orderFor = 60 * time.Second
	requests = 20
)

func main() { os.Exit(harness.Main(run)) }

func run(s *harness.Site, trouble bool) (held bool, err error) {
	members := []*harness.Node{s.Control(1), s.Control(2), s.Control(3)}
	seeds := harness.Seeds(members...)
	front := s.Entry(1)
	if err := members[2].Start(seeds, true); err != nil {
		return false, err
	}
	time.Sleep(lostAfter)
	if trouble {
		members[2].Kill() // for good
	}
	time.Sleep(othersAfter - lostAfter)
	for _, n := range []*harness.Node{members[0], members[1], front} {
		if err := n.Start(seeds, true); err != nil {
			return false, err
		}
	}
	if trouble {
		time.Sleep(lostAfter + addedAfter - othersAfter)
		members[2] = s.Control(4)
		if err := members[2].Start(harness.Seeds(members...), false); err != nil {
			return false, err
		}
	}
	instance, err := s.StartInstance("i-1", "shop", 15, 18_080, members, func(i *harness.Instance, conn net.Conn, r *http.Request, body []byte) bool {
		i.Ran(r, body, false)
		return i.Answer(conn, r.Header.Get("Request-Id"), http.StatusOK, "", []byte("ok"))
	})
	if err != nil {
		return false, err
	}
	defer instance.Crash()
	_, acknowledged := s.Put(harness.Configuration(3, harness.Service("shop"), harness.Route("r-1", "a.example", "/x/", "safe", "shop", 1500, 2), harness.Limits()), orderFor, members...)
	if acknowledged && !harness.Eventually(10*time.Second, func() bool { return front.Ready() && instance.Acknowledged() }) {
		return false, errors.New("the entry host is not ready")
	}
	time.Sleep(2 * time.Second)
	answers := map[int]int{}
	for n := range requests {
		answers[ask(front, n)]++
	}
	s.Note("clients: %d requests, answers by status, 0 for none: %v; the instance ran %d; a heartbeat of it was acknowledged: %v", requests, answers, len(instance.AllRuns()), instance.Acknowledged())
	return acknowledged && answers[http.StatusOK] > 0, nil
}

func ask(front *harness.Node, n int) int {
	conn, err := net.DialTimeout("tcp", front.FrontAddress(), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	request := fmt.Sprintf("GET /x/%d HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %016x\r\nDeadline-Ms: 2500\r\n\r\n", n, n+1)
	return harness.Exchange(conn, bufio.NewReader(conn), http.MethodGet, []byte(request), 3*time.Second).Status
}
