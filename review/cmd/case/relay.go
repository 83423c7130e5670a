package main

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/snipebeam/snipebeam/review/harness"
)

func init() { cases["stale-relay"] = staleRelay }

// relayRoutes returns the route of the case, to a service. A request is sent to one instance at most.
func relayRoutes(service string) []harness.Route {
	return []harness.Route{{
		Name: "r-pay", Host: hostName, Prefix: "/pay/", Kind: "unsafe", Service: service, TimeoutMs: 2500, AimMs: 800, Attempts: 1,
	}}
}

// Instances of the case. One of six, 0.167 of them, crashes.
const (
	oldInstances = 2
	newInstances = 6
	burst        = 18 // requests that are sent together, three for each instance
)

// staleRelay freezes one entry host while a route moves from one service to another, of which
// one instance crashes. Clients then ask the other entry host, which has been in touch all the while.
func staleRelay(root string, record *harness.Record, trouble bool) (int, error) {
	const older, newer = "svc-old", "svc-new"
	s, err := startSystem(root, record, 3, 2, 1, harness.Document(1, relayRoutes(older), older, newer))
	if err != nil {
		return failed, err
	}
	defer s.Close()
	runs := &harness.Runs{}
	var crashing *harness.Instance
	for n := range oldInstances + newInstances {
		service := older
		if n >= oldInstances {
			service = newer
		}
		if crashing, err = s.StartInstance(n, service, harness.Zones[n%2], 20*time.Millisecond, runs, nil); err != nil {
			return failed, err
		}
	}
	time.Sleep(5 * time.Second) // contactMs, heartbeats, and the polls of the entry hosts
	addresses, err := s.Resolve(hostName, harness.Zones[0])
	if err != nil {
		return failed, err
	}
	record.Line("the directory names %v for clients in %s", addresses, harness.Zones[0])
	inTouch, frozen := s.Entries[0], s.Entries[1]
	if addresses[0] == frozen.CallersAddress() {
		inTouch, frozen = frozen, inTouch
	}
	client := s.NewClient()
	ask := func() harness.Answer {
		return client.Do(inTouch.CallersAddress(), "POST", hostName, "/pay/1", []byte("order"), 3*time.Second)
	}
	if ask().Status != 200 {
		return failed, errors.New("no request was served")
	}
	if trouble {
		frozen.Signal(syscall.SIGSTOP)
	}
	froze := time.Now()
	time.Sleep(300 * time.Millisecond)
	acknowledged, err := s.Put(2, harness.Document(2, relayRoutes(newer), older, newer), 10*time.Second)
	if err != nil {
		return failed, err
	}
	time.Sleep(time.Second)
	if ask().Status != 200 {
		return failed, errors.New("no request was served by the new service")
	}
	time.Sleep(time.Until(acknowledged.Add(applyMs + 300*time.Millisecond)))
	if trouble {
		crashing.Crash()
	}
	var group sync.WaitGroup
	for range burst {
		group.Go(func() { ask() })
	}
	time.Sleep(time.Until(froze.Add(4 * time.Second)))
	if trouble {
		frozen.Signal(syscall.SIGCONT)
	}
	group.Wait()
	time.Sleep(time.Second)
	return judgeMoved(record, runs, older, newer, acknowledged, client)
}

// judgeMoved looks for requests that were run by the older service though they were sent later than
// configApplyMs after the acknowledgement, or than rollbackSlackMs after the effect of the version was seen.
// All requests are sent to one machine.
func judgeMoved(record *harness.Record, runs *harness.Runs, older, newer string, acknowledged time.Time, client *harness.Client) (int, error) {
	code := held
	var seen time.Time // when an instance saw the effect of the version first
	for _, run := range runs.All() {
		sent := client.SentAt(run.ID)
		if run.Service == newer && seen.IsZero() {
			seen = run.At
		}
		if run.Service != older || sent.IsZero() {
			continue
		}
		if sent.After(acknowledged.Add(applyMs)) {
			record.Line("BROKEN (CONFIG, late): request %s was sent %d ms after the acknowledgement of version 00000002 and run by %s of %s",
				run.ID, sent.Sub(acknowledged).Milliseconds(), run.Instance, run.Service)
			code = broken
		}
		if !seen.IsZero() && sent.After(seen.Add(rollbackMs)) {
			record.Line("BROKEN (CONFIG, regress): request %s was sent %d ms after an instance saw the effect of version 00000002 by the same machine",
				run.ID, sent.Sub(seen).Milliseconds())
			code = broken
		}
	}
	return code, nil
}
