package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/snipebeam/snipebeam/review/harness"
)

func init() { cases["swap-wipe"] = swapWipe }

const (
	catchUp  = 4 * time.Second  // catchUpS
	recovery = 15 * time.Second // recoveryS
	darkFor  = 3 * time.Second
	swapGap  = time.Second // between the start of the new host and the stop of the old one
)

// swapWipe replaces a control host by a new one as planned. Then one other control host loses its disk.
func swapWipe(root string, record *harness.Record, trouble bool) (int, error) {
	document := func(version uint64) []byte {
		return harness.Document(version, relayRoutes("svc-old"), "svc-old")
	}
	s, err := startSystem(root, record, 3, 0, 1, document(1))
	if err != nil {
		return failed, err
	}
	defer s.Close()
	time.Sleep(contact + catchUp)
	leaving, losing := s.Controls[2], s.Controls[0]
	successor := s.AddControl()
	record.Line("%s is to replace %s", successor.Name, leaving.Name)
	if err := successor.Start(false); err != nil {
		return failed, err
	}
	time.Sleep(swapGap)
	leaving.Signal(syscall.SIGTERM)
	if _, stopped := leaving.Wait(8 * time.Second); !stopped {
		return failed, fmt.Errorf("%s did not stop", leaving.Name)
	}
	ended := time.Now()
	record.Line("%s has ended and doesn't come back", leaving.Name)
	s.Controls = []*harness.Host{s.Controls[0], s.Controls[1], successor}
	time.Sleep(time.Until(ended.Add(catchUp + 20*time.Millisecond))) // the one that left counts no more
	const version = 2
	if _, err := s.Put(version, document(version), 10*time.Second); err != nil {
		return failed, err
	}
	if trouble {
		losing.Signal(syscall.SIGKILL)
		_, _ = losing.Wait(5 * time.Second)
		if err := os.RemoveAll(losing.Data); err != nil {
			return failed, err
		}
		record.Line("%s has lost its disk", losing.Name)
		time.Sleep(darkFor)
		if err := losing.Start(false); err != nil {
			return failed, err
		}
	}
	return judgeRead(s, version, recovery+2*contact, record)
}

// judgeRead reads the configuration from all control hosts until one serves a version, or the limit has passed.
func judgeRead(s *harness.System, version uint64, limit time.Duration, record *harness.Record) (int, error) {
	wanted := fmt.Sprintf("%08x", version)
	for began := time.Now(); time.Since(began) < limit; time.Sleep(time.Second) {
		for _, host := range s.Controls {
			status, got, err := s.Get(host)
			record.Line("operator: reads %s: status %d, version %q, error %v", host.Name, status, got, err)
			if got == wanted {
				return held, nil
			}
		}
	}
	record.Line("BROKEN (CONFIG): the acknowledged version %s is not read back at any control host for %s", wanted, limit)
	return broken, nil
}
