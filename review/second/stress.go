package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["stress"] = stress }

const host = "hulo84.example"

func baseConfig(version int) object {
	return config(version,
		routeItem("r-look", host, "/look/", "safe", "aservice", 1500, 400, 3),
		routeItem("r-pay", host, "/pay/", "unsafe", "aservice", 1500, 400, 3),
		routeItem("r-up", host, "/up/", "upload", "bservice", 3000, 800, 3),
		serviceItem("aservice"), serviceItem("bservice"))
}

// misbehave answers as a faulty instance may.
func misbehave(share float64) func(e *exchange) (bool, bool) {
	return func(e *exchange) (bool, bool) {
		if rand.Float64() >= share {
			return false, false
		}
		i, id := e.i, e.seen.id
		if !i.begin(e.seen) {
			i.refuse(e.conn, e.seen, 503, "full")
			return true, true
		}
		defer i.finish()
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
		body := answerBody(id)
		full := i.head(e.seen, 200, "Content-Length: "+strconv.Itoa(len(body))) + string(body)
		chunked := i.head(e.seen, 200, "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 700, body[:700], len(body)-700, body[700:])
		w := func(s string) { _, _ = io.WriteString(e.conn, s) }
		kind := rand.IntN(18)
		i.records.add("instance %s: id %s misbehaves %d", i.id, id, kind)
		switch kind {
		case 0: // truncated
			w(full[:rand.IntN(len(full))])
			return true, false
		case 1: // truncated by a reset
			w(full[:rand.IntN(len(full))])
			_ = e.conn.(*net.TCPConn).SetLinger(0)
			return true, false
		case 2: // bytes that are no answer
			w("\x00\x01garbage\r\n\r\n" + strings.Repeat("x", rand.IntN(3000)))
			return true, false
		case 3: // bytes after the answer
			w(full + "more bytes\r\n\r\n")
			return true, true
		case 4: // a second answer, to the same request
			w(full + full)
			return true, true
		case 5: // a second answer, late
			w(full)
			time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			w(full)
			return true, true
		case 6: // reset without an answer
			_ = e.conn.(*net.TCPConn).SetLinger(0)
			return true, false
		case 7: // close without an answer
			return true, false
		case 8: // no length, ends with the connection
			w(i.head(e.seen, 200, "Connection: close") + string(body))
			return true, false
		case 9: // no length, reset
			w(i.head(e.seen, 200, "Connection: close") + string(body[:rand.IntN(len(body))]))
			time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
			_ = e.conn.(*net.TCPConn).SetLinger(0)
			return true, false
		case 10:
			w(chunked)
			return true, true
		case 11: // truncated chunks
			w(chunked[:rand.IntN(len(chunked))])
			return true, false
		case 12: // never answers
			time.Sleep(4 * time.Second)
			return true, false
		case 13: // answers and closes
			w(strings.Replace(full, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
			return true, false
		case 14: // fails
			w(i.head(e.seen, 500, "Content-Length: 4") + "fail")
			return true, true
		case 15: // 503 without a promise
			w(i.head(e.seen, 503, "Content-Length: 4") + "busy")
			return true, true
		case 16: // answer of another request's id, then this one
			w(strings.Replace(full, id, newID(), -1) + full)
			return true, true
		case 17: // slowly
			for n := 0; n < len(full); n += 300 {
				w(full[n:min(n+300, len(full))])
				time.Sleep(5 * time.Millisecond)
			}
			return true, true
		}
		return false, false
	}
}

func stress(f *fleet, trouble bool) int {
	if err := f.startAll(3, 3); err != nil {
		f.records.say("%v", err)
		return couldNot
	}
	if status := f.putConfig(baseConfig(1), 15*time.Second); status != 200 {
		f.records.say("configuration: %d", status)
		return couldNot
	}
	var all []*instance
	for n := range 8 {
		service := "aservice"
		if n >= 5 {
			service = "bservice"
		}
		i, err := startInstance(f, fmt.Sprintf("i-%d", n), service, 100+n)
		if err != nil {
			f.records.say("%v", err)
			return couldNot
		}
		if trouble {
			i.behave = misbehave(0.3)
		}
		all = append(all, i)
	}
	if !f.awaitReady(15 * time.Second) {
		f.records.say("not ready")
		return couldNot
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var attempts []*attempt
	var group sync.WaitGroup
	var stop atomic.Bool
	entries := f.of("entry")
	pools := &pool{}
	for c := range 24 {
		group.Go(func() {
			for n := 0; !stop.Load(); n++ {
				a := &attempt{id: newID(), host: host, deadline: 2500 * time.Millisecond}
				switch rand.IntN(4) {
				case 0, 1:
					a.method, a.target = "GET", "/look/"+a.id
				case 2:
					a.method, a.target, a.body = "POST", "/pay/"+a.id, []byte("pay "+a.id)
				default:
					a.method, a.target = "POST", "/up/"+a.id
					a.body = []byte(strings.Repeat(a.id, 1+rand.IntN(5000)))
					a.chunked = rand.IntN(2) == 0
				}
				pools.send(entries[rand.IntN(len(entries))].front(), a)
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
			}
			_ = c
		})
	}
	time.Sleep(25 * time.Second)
	stop.Store(true)
	group.Wait()
	time.Sleep(time.Second)
	return judge(f, attempts, all)
}

// judge checks what clients and instances saw.
func judge(f *fleet, attempts []*attempt, all []*instance) int {
	byID := map[string]*attempt{}
	statuses := map[string]int{}
	for _, a := range attempts {
		byID[a.id] = a
		key := strings.SplitN(a.target, "/", 3)[1] + " " + fmt.Sprint(a.status)
		if a.err != nil {
			key += " " + strings.Join(strings.Fields(a.err.Error())[max(0, len(strings.Fields(a.err.Error()))-3):], " ")
		}
		statuses[key]++
	}
	for key, n := range statuses {
		fmt.Println(n, key)
	}
	runs := map[string]int{}
	breaks := 0
	bad := func(format string, args ...any) {
		breaks++
		f.records.say("BROKEN "+format, args...)
	}
	for _, i := range all {
		for _, seen := range i.seen() {
			a := byID[seen.id]
			if a == nil {
				bad("UNASKED: instance %s got id %q of no client", i.id, seen.id)
				continue
			}
			if seen.ran {
				runs[seen.id]++
			}
			if seen.ran && (seen.method != a.method || seen.target != a.target || seen.body != digest(a.body)) {
				bad("UNASKED: %s ran %s %s body %d, sent %s %s body %d", seen.id, seen.method, seen.target, seen.length, a.method, a.target, len(a.body))
			}
		}
	}
	for _, a := range attempts {
		repeatable := strings.HasPrefix(a.target, "/look/")
		if !repeatable && runs[a.id] > 1 {
			bad("TWICE: %s %s ran %d times", a.id, a.target, runs[a.id])
		}
		if !repeatable && runs[a.id] > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			bad("REFUSED: %s %s ran and was answered %d", a.id, a.target, a.status)
		}
		if a.status/100 == 2 && a.complete && (a.signature != signature(a.id) || string(a.answer) != string(answerBody(a.id))) {
			bad("MIXED: %s %s got signature %q and %d bytes", a.id, a.target, a.signature, len(a.answer))
		}
		if a.extra {
			bad("MIXED: %s %s got bytes after its answer", a.id, a.target)
		}
	}
	for _, n := range f.nodes {
		if n.endedByItself() {
			bad("process %s ended by itself: %s", n.name, n.logText())
		}
		if strings.Contains(n.logText(), "panic") {
			bad("process %s logged a panic", n.name)
		}
	}
	f.records.say("%d attempts, %d breaks", len(attempts), breaks)
	if breaks > 0 {
		return broken
	}
	return held
}
