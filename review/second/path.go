package main

import (
	"fmt"
	"time"
)

func init() { scenarios["path"] = path }

// path sends requests whose paths have bytes that net/url would escape.
func path(f *fleet, trouble bool) int {
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
	var all []*instance
	for n := range 3 {
		i, err := startInstance(f, fmt.Sprintf("i-%d", n+1), "aservice", 100+n)
		if err != nil {
			f.records.say("instance: %v", err)
			return couldNot
		}
		all = append(all, i)
	}
	if !f.awaitReady(20 * time.Second) {
		f.records.say("the entry hosts are not ready")
		return couldNot
	}
	time.Sleep(3 * time.Second)
	names := []string{"a-b", "a%7Cb", "a;b=1,2", "a:b@c", "a!$&'()*+b", "a/../b", "a//b"}
	if trouble {
		names = []string{"a|b", "a{b}", "a^b", "a`b", "a\"b", "a\\b", "caf\xc3\xa9"}
	}
	sent := map[string]string{}
	for n := range 70 {
		a := &attempt{id: newID(), host: host, method: "GET", target: "/look/" + names[n%7], deadline: 2 * time.Second}
		if n%2 == 0 {
			a.method, a.target, a.body = "POST", "/pay/"+names[n%7], []byte("pay "+a.id)
		}
		sent[a.id] = a.target
		if c, err := dialEntry(f.of("entry")[n%2].front()); err == nil {
			c.do(a)
			_ = c.conn.Close()
		}
		f.records.add("client: %s %q answered %d", a.id, a.target, a.status)
	}
	changed, ran := 0, 0
	for _, i := range all {
		for _, seen := range i.seen() {
			if !seen.ran {
				continue
			}
			ran++
			if seen.target != sent[seen.id] {
				changed++
				f.records.add("instance %s ran %s as %q, sent as %q", i.id, seen.id, seen.target, sent[seen.id])
			}
		}
	}
	f.records.say("%d requests ran, %d of them with another path than the client sent", ran, changed)
	if changed > 0 {
		return broken
	}
	return held
}
