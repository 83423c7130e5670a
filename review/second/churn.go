package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["churn"] = churn }

func churnConfig(version int, look string) object {
	return config(version,
		routeItem("r-look", host, "/look/", "safe", look, 1500, 400, 3),
		routeItem("r-pay", host, "/pay/", "unsafe", "aservice", 1500, 400, 3),
		routeItem("r-up", host, "/up/", "upload", "bservice", 3000, 800, 3),
		serviceItem("aservice"), serviceItem("bservice"))
}

type acked struct {
	version int
	at      time.Time
}

func churn(f *fleet, trouble bool) int {
	if err := f.startAll(3, 4); err != nil {
		return couldNot
	}
	if status := f.putConfig(churnConfig(1, "aservice"), 15*time.Second); status != 200 {
		return couldNot
	}
	var all []*instance
	var imu sync.Mutex
	start := func(id, service, address string) *instance {
		i, err := startInstanceAt(f, id, service, address)
		if err != nil {
			f.records.add("instance %s: %v", id, err)
			return nil
		}
		i.work = time.Duration(20+rand.IntN(80)) * time.Millisecond
		i.behave = misbehave(0.05)
		imu.Lock()
		defer imu.Unlock()
		all = append(all, i)
		return i
	}
	for n := range 8 {
		service := "aservice"
		if n >= 4 {
			service = "bservice"
		}
		start(fmt.Sprintf("i-%d", n), service, fmt.Sprintf("%s%d:8080", f.net, 100+n))
	}
	if !f.awaitReady(15 * time.Second) {
		return couldNot
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var attempts []*attempt
	var group sync.WaitGroup
	var stop atomic.Bool
	entries := f.of("entry")
	for range 24 {
		group.Go(func() {
			pools := &pool{}
			for !stop.Load() {
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
				if rand.IntN(8) == 0 { // leaves early
					a.deadline = time.Duration(rand.IntN(100)) * time.Millisecond
				}
				pools.send(entries[rand.IntN(len(entries))].front(), a)
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
			}
		})
	}
	var ackMu sync.Mutex
	var acks []acked
	broken1 := 0
	version := 1
	newest := func(before time.Time) int {
		ackMu.Lock()
		defer ackMu.Unlock()
		v := 0
		for _, a := range acks {
			if a.at.Before(before) {
				v = max(v, a.version)
			}
		}
		return v
	}
	group.Go(func() { // reads the configuration
		for !stop.Load() {
			c := f.of("control")[rand.IntN(3)]
			sent := time.Now()
			status, text := call("GET", "http://"+c.ip+":"+portControl+"/v1/Config.Get", nil)
			if status == 200 {
				var got struct{ Version string }
				_ = json.Unmarshal(text, &got)
				v, _ := strconv.ParseInt(got.Version, 16, 64)
				if want := newest(sent); int(v) < want {
					f.records.say("BROKEN CONFIG: %s answered version %d after %d was acknowledged", c.name, v, want)
					broken1++
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	var ops sync.WaitGroup
	op := func(fn func()) { ops.Add(1); go func() { defer ops.Done(); fn() }() }
	busy := map[string]bool{}
	var bmu sync.Mutex
	claim := func(n *node, limitRole int) bool {
		bmu.Lock()
		defer bmu.Unlock()
		count := 0
		for _, m := range f.of(n.role) {
			if busy[m.name] {
				count++
			}
		}
		if busy[n.name] || count >= limitRole {
			return false
		}
		busy[n.name] = true
		return true
	}
	release := func(n *node) { bmu.Lock(); defer bmu.Unlock(); busy[n.name] = false }
	until := time.Now().Add(60 * time.Second)
	next := 200
	for time.Now().Before(until) && trouble {
		time.Sleep(time.Duration(300+rand.IntN(900)) * time.Millisecond)
		e, c := entries[rand.IntN(len(entries))], f.of("control")[rand.IntN(3)]
		switch rand.IntN(12) {
		case 0, 1:
			if claim(e, 2) {
				op(func() { defer release(e); e.signal(syscall.SIGTERM); e.wait(8 * time.Second); e.kill(); _ = e.start() })
			}
		case 2:
			if claim(e, 2) {
				op(func() { defer release(e); e.kill(); _ = e.start() })
			}
		case 3:
			if claim(e, 2) {
				op(func() {
					defer release(e)
					e.signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
					e.signal(syscall.SIGCONT)
				})
			}
		case 4:
			if claim(c, 1) {
				op(func() { defer release(c); c.kill(); _ = c.start(); time.Sleep(3 * time.Second) })
			}
		case 5:
			if claim(c, 1) {
				op(func() {
					defer release(c)
					c.signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
					c.signal(syscall.SIGCONT)
					time.Sleep(2 * time.Second)
				})
			}
		case 6:
			if claim(c, 1) {
				op(func() {
					defer release(c)
					c.signal(syscall.SIGTERM)
					c.wait(8 * time.Second)
					c.kill()
					_ = c.start()
					time.Sleep(2 * time.Second)
				})
			}
		case 7, 8, 9:
			version++
			v := version
			op(func() {
				body, _ := json.Marshal(churnConfig(v, []string{"aservice", "bservice"}[v%2]))
				for time.Now().Before(until) {
					m := f.of("control")[rand.IntN(3)]
					if status, _ := call("POST", "http://"+m.ip+":"+portControl+"/v1/Config.Put", body); status == 200 {
						ackMu.Lock()
						acks = append(acks, acked{v, time.Now()})
						ackMu.Unlock()
						f.records.add("version %d is acknowledged", v)
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		case 10:
			imu.Lock()
			i := all[rand.IntN(len(all))]
			imu.Unlock()
			next++
			id := fmt.Sprintf("i-%d", next)
			service := []string{"aservice", "bservice"}[rand.IntN(2)]
			select {
			case <-i.stop:
				continue
			default:
			}
			op(func() {
				if rand.IntN(2) == 0 {
					i.drain()
					time.Sleep(2500 * time.Millisecond)
				}
				i.end()
				time.Sleep(2 * time.Second)
				start(id, service, i.address)
			})
		case 11:
			e.signal(syscall.SIGHUP)
		}
	}
	ops.Wait()
	stop.Store(true)
	group.Wait()
	time.Sleep(time.Second)
	code := judge(f, attempts, all)
	if broken1 > 0 {
		return broken
	}
	return code
}
