package main

import (
	"fmt"
	"time"
)

func init() { scenarios["form"] = form }

// form starts the whole system for the first time. With trouble the process of the first control
// host is killed 0.2 s after its start, and comes back within a second with its disk.
func form(f *fleet, trouble bool) int {
	zones := []string{"attica-a", "attica-b", "attica-c"}
	var seeds []string
	for n := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s%d:%s", f.net, 10+n, portControl))
	}
	for n := range 3 {
		c := f.add(fmt.Sprintf("core-%d", n+1), "control", 10+n, zones[n])
		c.seeds, c.bootstrap = seeds, true
	}
	for n := range 2 {
		e := f.add(fmt.Sprintf("edge-%d", n+1), "entry", 40+n, zones[n])
		e.seeds = seeds
	}
	first := f.nodes[0]
	if err := first.start(); err != nil {
		f.records.say("start: %v", err)
		return couldNot
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		first.kill()
		first.bootstrap = false // true only when the whole system starts for the first time
	}
	time.Sleep(30 * time.Millisecond) // all machines start within 0.3 s of each other
	for _, n := range f.nodes[1:] {
		if err := n.start(); err != nil {
			f.records.say("start: %v", err)
			return couldNot
		}
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		if err := first.start(); err != nil {
			f.records.say("start: %v", err)
			return couldNot
		}
	}
	if _, err := startInstance(f, "i-1", "aservice", 100); err != nil {
		f.records.say("instance: %v", err)
		return couldNot
	}
	wanted := config(1, routeItem("r-look", host, "/look/", "safe", "aservice", 1500, 400, 2), serviceItem("aservice"))
	status := f.putConfig(wanted, 70*time.Second)
	ready := status == 200 && f.awaitReady(15*time.Second)
	f.records.say("the first configuration was answered %d in the end; entry hosts ready: %v", status, ready)
	served := 0
	for n := range 40 {
		a := &attempt{id: newID(), host: host, method: "GET", target: "/look/2f", deadline: 2 * time.Second}
		if c, err := dialEntry(f.of("entry")[n%2].front()); err == nil {
			c.do(a)
			_ = c.conn.Close()
		}
		f.records.add("client: %s answered %d", a.id, a.status)
		if a.status == 200 {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.records.say("%d of 40 requests were served", served)
	if served == 0 {
		return broken
	}
	return held
}
