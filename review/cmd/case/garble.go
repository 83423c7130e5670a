package main

import (
	"errors"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/review/harness"
)

func init() { cases["garbled-status"] = garbledStatus }

const (
	spoilEvery   = 50 // answers: 0.02 of them are spoiled
	garbleWork   = 10 * time.Millisecond
	garbleAsks   = 4000
	garbleAsking = 4 // clients
)

// notAResponse is what the faulty instance sends: an answer with spoiled digits. No response has the status 000.
func notAResponse(id string) []byte {
	return []byte("HTTP/1.1 000 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: sig." + id + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nrun\n\r\n0\r\n\r\n")
}

// garbledStatus has one of two instances spoil some of its answers to requests that may run once.
func garbledStatus(root string, record *harness.Record, trouble bool) (int, error) {
	const service = "svc-pay"
	route := []harness.Route{{
		Name: "r-pay", Host: hostName, Prefix: "/pay/", Kind: "unsafe", Service: service, TimeoutMs: 2500, AimMs: 800, Attempts: 2,
	}}
	s, err := startSystem(root, record, 3, 1, 1, harness.Document(1, route, service))
	if err != nil {
		return failed, err
	}
	defer s.Close()
	runs := &harness.Runs{}
	for n := range 2 {
		var spoil func(int64, string) []byte
		if n == 0 && trouble {
			spoil = func(answer int64, id string) []byte {
				if answer%spoilEvery == 0 {
					return notAResponse(id)
				}
				return nil
			}
		}
		if _, err := s.StartInstance(n, service, harness.Zones[0], garbleWork, runs, spoil); err != nil {
			return failed, err
		}
	}
	time.Sleep(4 * time.Second)
	client := s.NewClient()
	ask := func() harness.Answer {
		return client.Do(s.Entries[0].CallersAddress(), "POST", hostName, "/pay/1", []byte("order"), 3*time.Second)
	}
	if ask().Status != 200 {
		return failed, errors.New("no request was served")
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]harness.Answer{}
	var slow int
	for range garbleAsking {
		group.Go(func() {
			for range garbleAsks / garbleAsking {
				a := ask()
				mu.Lock()
				answers[a.ID] = a
				if a.Took > 2*time.Second {
					slow++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	record.Line("%d of %d requests were answered later than after 2 s", slow, len(answers))
	return judgePromises(record, runs, answers), nil
}

// judgePromises looks for requests that ran although their answer promises that they have not.
func judgePromises(record *harness.Record, runs *harness.Runs, answers map[string]harness.Answer) int {
	code, counts, last := held, map[string]int{}, map[string]time.Time{}
	for _, run := range runs.All() {
		counts[run.ID]++
		last[run.Instance] = run.At
		answer := answers[run.ID]
		switch answer.Status {
		case 408, 421, 429, 503:
			record.Line("BROKEN (REFUSED): request %s was answered %d and has run at %s", run.ID, answer.Status, run.Instance)
			code = broken
		}
		if answer.Status >= 400 && answer.Header.Get("Response-Signature") != "" {
			record.Line("BROKEN (MIXED): the answer %d to request %s bears the signature of %s, which gave another status", answer.Status, run.ID, run.Instance)
			code = broken
		}
	}
	for id, n := range counts {
		if n > 1 {
			record.Line("BROKEN (TWICE): request %s has run %d times", id, n)
			code = broken
		}
	}
	for name, at := range last {
		record.Line("instance %s ran its last request %.1f s before the end", name, time.Since(at).Seconds())
	}
	return code
}
