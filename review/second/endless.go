package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["endless"] = endless }

// endless has the instances send a body without end in place of one answer in ten. The route's time is 1.5 s, and the
// clients would wait for 8 s.
func endless(f *fleet, trouble bool) int {
	if err := f.startAll(3, 2); err != nil {
		f.records.say("start: %v", err)
		return couldNot
	}
	const timeout, patience = 1500 * time.Millisecond, 8 * time.Second
	wanted := config(1, routeItem("r-look", host, "/look/", "safe", "aservice", int(timeout.Milliseconds()), 600, 2), serviceItem("aservice"))
	if status := f.putConfig(wanted, 20*time.Second); status != 200 {
		f.records.say("configuration: %d", status)
		return couldNot
	}
	var all []*instance
	for n := range 3 {
		i, err := startInstance(f, fmt.Sprintf("i-%d", n+1), "aservice", 100+n)
		if err != nil {
			f.records.say("instance: %v", err)
			return couldNot
		}
		i.work = 220 * time.Millisecond
		all = append(all, i)
	}
	var count atomic.Int64
	for _, i := range all {
		i.behave = func(e *exchange) (bool, bool) {
			if !trouble || count.Add(1)%10 != 0 {
				return false, false
			}
			if !e.i.begin(e.seen) {
				e.i.refuse(e.conn, e.seen, 503, "full")
				return true, true
			}
			defer e.i.finish()
			time.Sleep(e.i.work)
			_, err := io.WriteString(e.conn, e.i.head(e.seen, 200, "Transfer-Encoding: chunked"))
			piece := strings.Repeat("x", 100)
			for err == nil {
				_, err = fmt.Fprintf(e.conn, "%x\r\n%s\r\n", len(piece), piece)
				time.Sleep(50 * time.Millisecond)
			}
			e.i.records.add("instance %s: the body without end of %s ended: %v", e.i.id, e.seen.id, err)
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
	longer, open := 0, 0
	for n := range 120 {
		time.Sleep(150 * time.Millisecond)
		group.Go(func() {
			a := &attempt{id: newID(), host: host, method: "GET", target: "/look/2f", deadline: patience}
			c, err := dialEntry(f.of("entry")[n%2].front())
			if err != nil {
				return
			}
			c.do(a)
			_ = c.conn.Close()
			took := a.ended.Sub(a.sent)
			f.records.add("client: %s ended after %.3f s, status %d, complete %v, %d bytes", a.id, took.Seconds(), a.status, a.complete, len(a.answer))
			mu.Lock()
			defer mu.Unlock()
			if took > timeout {
				longer++
			}
			if took > timeout+500*time.Millisecond {
				open++
			}
		})
	}
	group.Wait()
	f.records.say("%d requests lasted longer than the route's %v, %d of them had no final answer 0.5 s later", longer, timeout, open)
	if open >= 8 && 4*open > longer {
		return broken
	}
	return held
}
