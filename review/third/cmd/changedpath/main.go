// Command changedpath sends requests whose paths hold characters that many clients send as they
// are, and compares what the instance reads.
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

// paths by whether there is trouble. Those without are the same with each such character encoded.
var paths = map[bool][]string{
	true:  {"/x/titanium|stud", "/x/lot%2F7|blue", "/x/..%2Fx%2Fa|b", "/x/{7}", "/x/a^b"},
	false: {"/x/titanium%7Cstud", "/x/lot%2F7%7Cblue", "/x/..%2Fx%2Fa%7Cb", "/x/%7B7%7D", "/x/a%5Eb"},
}

func main() { os.Exit(harness.Main(run)) }

func run(s *harness.Site, trouble bool) (held bool, err error) {
	members := []*harness.Node{s.Control(1), s.Control(2), s.Control(3)}
	seeds := harness.Seeds(members...)
	front := s.Entry(1)
	for _, n := range append([]*harness.Node{front}, members...) {
		if err := n.Start(seeds, true); err != nil {
			return false, err
		}
	}
	if _, ok := s.Put(harness.Configuration(3, harness.Service("shop"), harness.Route("r-1", "a.example", "/x/", "safe", "shop", 1500, 2), harness.Limits()), 20*time.Second, members...); !ok {
		return false, errors.New("the configuration is not acknowledged")
	}
	instance, err := s.StartInstance("i-1", "shop", 15, 18_080, members, func(i *harness.Instance, conn net.Conn, r *http.Request, body []byte) bool {
		i.Ran(r, body, false)
		return i.Answer(conn, r.Header.Get("Request-Id"), http.StatusOK, "", []byte("what "+r.RequestURI+" is"))
	})
	if err != nil {
		return false, err
	}
	defer instance.Crash()
	if !harness.Eventually(10*time.Second, func() bool { return front.Ready() && instance.Acknowledged() }) {
		return false, errors.New("the deployment is not ready")
	}
	time.Sleep(2 * time.Second)
	sent := map[string]string{}
	for n, path := range paths[trouble] {
		id := fmt.Sprintf("%016x", n+1)
		sent[id] = path
		if err := ask(s, front, id, path); err != nil {
			return false, err
		}
	}
	held = len(instance.AllRuns()) > 0
	for _, r := range instance.AllRuns() {
		s.Note("instance: ran %s with path %s", r.ID, r.Target)
		held = held && r.Target == sent[r.ID]
	}
	return held, nil
}

func ask(s *harness.Site, front *harness.Node, id, path string) error {
	conn, err := net.DialTimeout("tcp", front.FrontAddress(), time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\n\r\n", path, id)
	reply := harness.Exchange(conn, bufio.NewReader(conn), http.MethodGet, []byte(request), 3*time.Second)
	s.Note("client: sent %s with path %s, got %d %q", id, path, reply.Status, reply.Body)
	return nil
}
