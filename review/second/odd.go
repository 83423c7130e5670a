package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { scenarios["odd"] = odd }

// oddBeat returns a heartbeat of another writer that names the address of an instance, with one
// field missing or of another type.
func oddBeat(n int, i *instance) []byte {
	beat := object{
		"service": i.service, "address": i.address, "zone": i.zone, "version": "v1", "maxConcurrency": i.slots,
		"state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
	switch n % 3 {
	case 0:
		beat["version"] = 7
	case 1:
		delete(beat, "version")
	default:
		delete(beat, "warmupLeftMs")
	}
	text, _ := json.Marshal(beat)
	return text
}

// odd has another writer send one odd heartbeat for the address of each instance, before the
// traffic starts. The instances are sound and go on with their own heartbeats.
func odd(f *fleet, trouble bool) int {
	if err := f.startAll(3, 2); err != nil {
		f.records.say("start: %v", err)
		return couldNot
	}
	wanted := config(1, routeItem("r-look", host, "/look/", "safe", "aservice", 1500, 600, 2), serviceItem("aservice"))
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
	for n, i := range all {
		if !trouble {
			break
		}
		text := oddBeat(n, i)
		c := f.of("control")[n%3]
		status, _ := call("POST", "http://"+c.ip+":"+portControl+"/v1/Instances.Heartbeat/w-"+fmt.Sprint(n+1), text)
		f.records.say("odd heartbeat %s: answered %d", text, status)
	}
	time.Sleep(2 * time.Second)
	const requests = 400
	served := 0
	for n := range requests {
		a := &attempt{id: newID(), host: host, method: "GET", target: "/look/2f", deadline: 2 * time.Second}
		if c, err := dialEntry(f.of("entry")[n%2].front()); err == nil {
			c.do(a)
			_ = c.conn.Close()
		}
		f.records.add("client: %s answered %d", a.id, a.status)
		if a.status == 200 {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.records.say("%d of %d requests were served; the instances are sound and have announced themselves all the while", served, requests)
	if served == 0 {
		return broken
	}
	return held
}
