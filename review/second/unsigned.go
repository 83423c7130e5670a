package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["unsigned"] = unsigned }

// unsigned has half of the instances hand out wrong bytes in place of 5 in 100 answers, four times
// for 5 s with 3 s between: a head with status 200, without the request's id and without a signature, and a body that is not theirs.
func unsigned(f *fleet, trouble bool) int {
	if err := f.startAll(3, 2); err != nil {
		f.records.say("start: %v", err)
		return couldNot
	}
	wanted := config(1,
		routeItem("r-look", host, "/look/", "safe", "aservice", 1500, 600, 2),
		routeItem("r-pay", host, "/pay/", "unsafe", "aservice", 1500, 600, 2), serviceItem("aservice"))
	if status := f.putConfig(wanted, 20*time.Second); status != 200 {
		f.records.say("configuration: %d", status)
		return couldNot
	}
	const length = 30 * time.Second
	var spoilt atomic.Int64
	var begin atomic.Pointer[time.Time]
	for n := range 6 {
		i, err := startInstance(f, fmt.Sprintf("i-%d", n+1), "aservice", 100+n)
		if err != nil {
			f.records.say("instance: %v", err)
			return couldNot
		}
		i.behave = func(e *exchange) (bool, bool) {
			start := begin.Load()
			if !trouble || n >= 3 || start == nil || time.Since(*start)%(8*time.Second) >= 5*time.Second || rand.Float64() >= 0.05 {
				return false, false
			}
			if !e.i.begin(e.seen) {
				e.i.refuse(e.conn, e.seen, 503, "full")
				return true, true
			}
			defer e.i.finish()
			time.Sleep(e.i.work)
			spoilt.Add(1)
			e.i.records.add("instance %s: wrong bytes in place of the answer to %s", e.i.id, e.seen.id)
			_, _ = io.WriteString(e.conn, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nwrong bytes")
			return true, false
		}
	}
	if !f.awaitReady(20 * time.Second) {
		f.records.say("the entry hosts are not ready")
		return couldNot
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var group sync.WaitGroup
	mixed, good, sent := 0, 0, 0
	now := time.Now()
	begin.Store(&now)
	for range 50 {
		group.Go(func() {
			for n := range 400 {
				if time.Since(now) > length {
					return
				}
				a := &attempt{id: newID(), host: host, method: "GET", target: "/look/2f", deadline: 2500 * time.Millisecond}
				if n%2 == 0 {
					a.method, a.target, a.body = "POST", "/pay/2f", []byte("pay "+a.id)
				}
				c, err := dialEntry(f.of("entry")[n/2%2].front())
				if err != nil {
					continue
				}
				c.do(a)
				_ = c.conn.Close()
				f.records.add("client: %s %s answered %d, signature %q, %d bytes", a.method, a.id, a.status, a.signature, len(a.answer))
				mu.Lock()
				sent++
				switch {
				case a.status/100 == 2 && a.signature == "":
					mixed++
				case a.status/100 == 2:
					good++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	f.records.say("%d requests; %d answers were spoilt; clients got %d successes without a signature and %d with one", sent, spoilt.Load(), mixed, good)
	if mixed > 0 {
		return broken
	}
	return held
}
