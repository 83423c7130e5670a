package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["gone"] = gone }

// gone has clients send photos while all instances are busy. With trouble three in ten of them
// leave 0.3 s after they have sent all of it.
func gone(f *fleet, trouble bool) int {
	if err := f.startAll(3, 2); err != nil {
		f.records.say("start: %v", err)
		return couldNot
	}
	wanted := config(1, routeItem("r-photo", host, "/photo/", "upload", "photos", 5000, 2000, 2), serviceItem("photos"))
	if status := f.putConfig(wanted, 20*time.Second); status != 200 {
		f.records.say("configuration: %d", status)
		return couldNot
	}
	var all []*instance
	for n := range 2 {
		i, err := startInstance(f, fmt.Sprintf("photos-%d", n+1), "photos", 100+n)
		if err != nil {
			f.records.say("instance: %v", err)
			return couldNot
		}
		i.work = 260 * time.Millisecond
		all = append(all, i)
	}
	if !f.awaitReady(20 * time.Second) {
		f.records.say("the entry hosts are not ready")
		return couldNot
	}
	time.Sleep(3 * time.Second)
	const seconds, perSecond, leaveShare = 20, 40, 10
	var mu sync.Mutex
	left := map[string]time.Time{}
	var group sync.WaitGroup
	entry := f.of("entry")[0].front()
	statuses := map[int]int{}
	for n := range seconds * perSecond {
		time.Sleep(time.Second / perSecond)
		leaves := n%leaveShare < 3 && trouble
		group.Go(func() {
			a := &attempt{id: newID(), host: host, method: "POST", target: "/photo/2f", deadline: 6 * time.Second}
			a.body = []byte(strings.Repeat(a.id, 60000/16))
			if !leaves {
				if c, err := dialEntry(entry); err == nil {
					c.do(a)
					_ = c.conn.Close()
				}
				f.records.add("client: %s answered %d", a.id, a.status)
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
				return
			}
			conn, err := net.DialTimeout("tcp", entry, time.Second)
			if err != nil {
				return
			}
			_, err = conn.Write(a.text())
			sent := time.Now()
			time.Sleep(300 * time.Millisecond)
			_ = conn.Close()
			mu.Lock()
			left[a.id] = time.Now()
			mu.Unlock()
			f.records.add("client: %s sent whole (%v) and left %.3f s later", a.id, err, time.Since(sent).Seconds())
		})
	}
	group.Wait()
	time.Sleep(6 * time.Second)
	late, ran := 0, 0
	for _, i := range all {
		for _, seen := range i.seen() {
			at, gone := left[seen.id]
			if gone && seen.at.Sub(at) > 500*time.Millisecond {
				late++
				if seen.ran {
					ran++
				}
				f.records.add("instance %s got %s %.3f s after its client had left, ran: %v", i.id, seen.id, seen.at.Sub(at).Seconds(), seen.ran)
			}
		}
	}
	f.records.say("%d clients left; %d of their requests reached an instance over 0.5 s later, %d of these ran; statuses of the others %v", len(left), late, ran, statuses)
	if late > 5 {
		return broken
	}
	return held
}
