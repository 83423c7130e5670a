package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["term"] = term }

// term stops and starts entry hosts in turn under load.
func term(f *fleet, trouble bool) int {
	if err := f.startAll(3, 3); err != nil {
		return couldNot
	}
	wanted := config(1,
		routeItem("r-look", host, "/look/", "safe", "aservice", 5000, 2000, 3),
		routeItem("r-pay", host, "/pay/", "unsafe", "aservice", 5000, 2000, 3),
		routeItem("r-up", host, "/up/", "upload", "bservice", 5000, 2000, 3),
		serviceItem("aservice"), serviceItem("bservice"))
	if f.putConfig(wanted, 15*time.Second) != 200 {
		return couldNot
	}
	var all []*instance
	for n := range 16 {
		i, err := startInstance(f, fmt.Sprintf("i-%d", n), []string{"aservice", "bservice"}[n%2], 100+n)
		if err != nil {
			return couldNot
		}
		i.work = time.Duration(50+n*90) * time.Millisecond
		all = append(all, i)
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
	for range 30 {
		group.Go(func() {
			pools := &pool{}
			for !stop.Load() {
				a := &attempt{id: newID(), host: host, deadline: 10 * time.Second}
				switch rand.IntN(3) {
				case 0:
					a.method, a.target = "GET", "/look/"+a.id
				case 1:
					a.method, a.target, a.body = "POST", "/pay/"+a.id, []byte("pay "+a.id)
				default:
					a.method, a.target = "POST", "/up/"+a.id
					a.body = []byte(strings.Repeat(a.id, 1+rand.IntN(8000)))
					a.chunked = rand.IntN(2) == 0
				}
				pools.send(entries[rand.IntN(len(entries))].front(), a)
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
				if rand.IntN(3) == 0 {
					time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
				}
			}
		})
	}
	until := time.Now().Add(60 * time.Second)
	for n := 0; time.Now().Before(until) && trouble; n++ {
		e := entries[n%3]
		e.signal(syscall.SIGTERM)
		if !e.wait(6 * time.Second) {
			f.records.say("%s did not end within 6 s", e.name)
			e.kill()
		}
		_ = e.start()
		time.Sleep(1500 * time.Millisecond)
	}
	stop.Store(true)
	group.Wait()
	arrived := map[string]*arrival{}
	for _, i := range all {
		for _, s := range i.seen() {
			arrived[s.id] = s
		}
	}
	lost := 0
	for _, a := range attempts {
		s := arrived[a.id]
		if s != nil && s.ran && a.status != 200 {
			lost++
			f.records.say("%s %s to %s sent %.3f ended %.3f: status %d err %v, instance %s arrived %.3f status %d", a.id, a.target, a.entry, a.sent.Sub(f.records.begun).Seconds(), a.ended.Sub(f.records.begun).Seconds(), a.status, a.err, s.instance, s.at.Sub(f.records.begun).Seconds(), s.status)
		}
		if s == nil && a.err != nil && a.ended.Sub(a.sent) > 200*time.Millisecond {
			f.records.say("not passed on: %s %s to %s sent %.3f ended %.3f: status %d err %v", a.id, a.target, a.entry, a.sent.Sub(f.records.begun).Seconds(), a.ended.Sub(f.records.begun).Seconds(), a.status, a.err)
		}
	}
	f.records.say("lost %d", lost)
	return judge(f, attempts, all)
}
