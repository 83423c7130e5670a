// Command nofinalanswer has instances send some of their answers with a body that doesn't end, and
// looks how long the clients that asked for them are kept waiting.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipebeam/snipebeam/review/third/harness"
)

const (
	routeTimeout = 1500 * time.Millisecond
	// patience is the clients' deadline.
	patience = 8 * time.Second
	// slack is the time that the rule allows after the route's time.
	slack     = 500 * time.Millisecond
	requests  = 1700
	pause     = 50 * time.Millisecond
	work      = 160 * time.Millisecond
	instances = 4
	// spoiling of the instances send one answer in spoiledOneIn without end, for spoilFor in each
	// spoilEvery.
	spoiling     = 2
	spoiledOneIn = 20
	spoilFor     = 5 * time.Second
	spoilEvery   = 7 * time.Second
	// leastOpen and leastShare are those of the rule: eight or more, and over a quarter.
	leastOpen  = 8
	leastShare = 4
)

func main() { os.Exit(harness.Main(run)) }

func run(s *harness.Site, trouble bool) (held bool, err error) {
	members := []*harness.Node{s.Control(1), s.Control(2), s.Control(3)}
	fronts := []*harness.Node{s.Entry(1), s.Entry(2)}
	seeds := harness.Seeds(members...)
	for _, n := range append(append([]*harness.Node{}, fronts...), members...) {
		if err := n.Start(seeds, true); err != nil {
			return false, err
		}
	}
	configuration := harness.Configuration(3, harness.Service("shop"), harness.Route("r-1", "a.example", "/x/", "safe", "shop", int(routeTimeout.Milliseconds()), 2), harness.Limits())
	if _, ok := s.Put(configuration, 20*time.Second, members...); !ok {
		return false, errors.New("the configuration is not acknowledged")
	}
	var answered atomic.Int64
	began := time.Now()
	var servers []*harness.Instance
	for n := range instances {
		slots := harness.NewSlots(3)
		i, err := s.StartInstanceWithRoom(fmt.Sprintf("i-%d", n+1), "shop", 15+n, 18_080, slots, members, func(i *harness.Instance, conn net.Conn, r *http.Request, body []byte) bool {
			id := r.Header.Get("Request-Id")
			if !slots.Begin(harness.DeadlineOf(r)) {
				return i.Refuse(conn, id, "")
			}
			defer slots.Finish()
			i.Ran(r, body, false)
			time.Sleep(work)
			if trouble && n < spoiling && time.Since(began)%spoilEvery < spoilFor && answered.Add(1)%spoiledOneIn == 0 {
				s.Note("instance %s: %s got %d bytes of a body without end, until the entry host closed", i.ID, id, i.AnswerWithoutEnd(conn, id, http.StatusOK))
				return false
			}
			return i.Answer(conn, id, http.StatusOK, "", []byte("ok"))
		})
		if err != nil {
			return false, err
		}
		defer i.Crash()
		servers = append(servers, i)
	}
	ready := func() bool {
		for _, i := range servers {
			if !i.Acknowledged() {
				return false
			}
		}
		return fronts[0].Ready() && fronts[1].Ready()
	}
	if !harness.Eventually(10*time.Second, ready) {
		return false, errors.New("the deployment is not ready")
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	var longer, open, ok atomic.Int64
	for n := range requests {
		time.Sleep(pause)
		group.Go(func() {
			took, status, complete := ask(s, fronts[n%2], n)
			if complete && status == http.StatusOK {
				ok.Add(1)
			}
			if took > routeTimeout {
				longer.Add(1)
			}
			if took > routeTimeout+slack {
				open.Add(1)
			}
		})
	}
	group.Wait()
	s.Note("clients: %d requests, %d answered in full; %d lasted longer than the route's %v, of these %d had no final answer %v later", requests, ok.Load(), longer.Load(), routeTimeout, open.Load(), slack)
	if ok.Load() < requests/2 {
		return false, errors.New("too few requests were answered")
	}
	return open.Load() < leastOpen || leastShare*open.Load() <= longer.Load(), nil
}

// ask sends one request, and returns after how long the client has the whole answer, the end of the
// connection, or has waited as long as it wants.
func ask(s *harness.Site, front *harness.Node, n int) (took time.Duration, status int, complete bool) {
	conn, err := net.DialTimeout("tcp", front.FrontAddress(), time.Second)
	if err != nil {
		return 0, 0, false
	}
	defer func() { _ = conn.Close() }()
	request := fmt.Sprintf("GET /x/%d HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %016x\r\nDeadline-Ms: %d\r\n\r\n", n, n+1, patience.Milliseconds())
	started := time.Now()
	reply := harness.Exchange(conn, bufio.NewReader(conn), http.MethodGet, []byte(request), patience)
	took = time.Since(started)
	if took > routeTimeout {
		s.Note("client: %016x through %s ended after %.3f s, status %d, %d bytes of body: %v", n+1, front.Name(), took.Seconds(), reply.Status, len(reply.Body), reply.ReadError)
	}
	return took, reply.Status, reply.Complete
}
