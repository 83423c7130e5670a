package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/snipebeam/snipebeam/review/harness"
)

func init() { cases["snapshot-kill"] = snapshotKill }

const (
	bigRoutes     = 700 // twice the 350 routes by which a configuration grows
	stormGap      = 330 * time.Millisecond
	downPuts      = 9       // changes that the killed host is to miss, so that it is down for under 3.5 s
	keptLog       = 2 << 20 // bytes of the log that the others keep beside a snapshot
	firstSnapshot = 4 << 20 // bytes of the log between two snapshots, at least
	roundLimit    = 75 * time.Second
	restartDelay  = 300 * time.Millisecond
	contact       = 3 * time.Second // contactMs
)

// bigDocument returns a configuration with many routes.
func bigDocument(version uint64) []byte {
	routes := make([]harness.Route, 0, bigRoutes)
	for n := range bigRoutes {
		routes = append(routes, harness.Route{
			Name: fmt.Sprintf("r-%d", n), Host: hostName, Prefix: fmt.Sprintf("/path%d/", n), Kind: "safe", Service: "svc-old",
			TimeoutMs: 1000 + int(version)%500, AimMs: 600, Attempts: 2,
		})
	}
	return harness.Document(version, routes, "svc-old")
}

// snapshots returns the names of the snapshots in a data folder.
func snapshots(folder string) map[string]bool {
	entries, _ := os.ReadDir(folder)
	names := map[string]bool{}
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), "snapshot-") && !strings.HasSuffix(e.Name(), ".tmp") {
			names[e.Name()] = true
		}
	}
	return names
}

func hasNew(folder string, before map[string]bool) bool {
	for name := range snapshots(folder) {
		if !before[name] {
			return true
		}
	}
	return false
}

// snapshotKill kills a control host while it installs the leader's snapshot, and restarts it twice.
func snapshotKill(root string, record *harness.Record, trouble bool) (int, error) {
	began := time.Now()
	version := uint64(1)
	s, err := startSystem(root, record, 3, 0, version, bigDocument(version))
	if err != nil {
		return failed, err
	}
	defer s.Close()
	put := func() error {
		version++
		_, err := s.Put(version, bigDocument(version), 5*time.Second)
		return err
	}
	victim, since := s.Controls[2], int64(0)
	for round := 1; time.Since(began) < roundLimit; round++ {
		record.Line("round %d", round)
		behind, err := lag(s, victim, since, put)
		if err != nil {
			return failed, err
		}
		since, _ = logBytes(s.Controls[0].Data)
		if !behind {
			record.Line("%s needs no snapshot", victim.Name)
			if err := victim.Start(false); err != nil {
				return failed, err
			}
			time.Sleep(time.Second)
			continue
		}
		if err := install(victim, trouble, record); err != nil {
			return failed, err
		}
		if err := put(); err != nil {
			return failed, err
		}
		wanted := fmt.Sprintf("%08x", version)
		caughtUp := harness.Until(5*time.Second, func() bool {
			_, got, _ := s.Get(victim)
			return got == wanted
		})
		record.Line("%s serves version %s: %v", victim.Name, wanted, caughtUp)
		time.Sleep(time.Second)
		victim.Signal(syscall.SIGTERM) // a planned restart
		if _, ended := victim.Wait(8 * time.Second); !ended {
			return failed, errors.New("the control host did not stop")
		}
		if startsAgain(victim, record) {
			if !trouble {
				return judgeLoss(s, victim, version, record)
			}
			continue
		}
		return judgeLoss(s, victim, version, record)
	}
	record.Line("in no round did the kill come between the two writes")
	return held, nil
}

// logBytes returns the size of the log in a data folder, and of its newest snapshot.
func logBytes(folder string) (logged, snapshot int64) {
	entries, _ := os.ReadDir(folder)
	for _, e := range entries {
		info, err := e.Info()
		switch {
		case err != nil:
		case strings.HasPrefix(e.Name(), "log-"):
			logged += info.Size()
		case strings.HasPrefix(e.Name(), "snapshot-"):
			snapshot = info.Size()
		}
	}
	return logged, snapshot
}

// lag changes the configuration until the other control hosts are about to take a snapshot, kills a
// control host, and goes on until they have taken it. It reports whether the host has missed enough.
func lag(s *harness.System, victim *harness.Host, since int64, put func() error) (bool, error) {
	other := s.Controls[0]
	paced := func() (size int64, err error) {
		before, _ := logBytes(other.Data)
		next := time.Now().Add(stormGap)
		err = put()
		time.Sleep(time.Until(next))
		after, _ := logBytes(other.Data)
		return after - before, err
	}
	for {
		size, err := paced()
		if err != nil {
			return false, err
		}
		logged, snapshot := logBytes(other.Data)
		if logged-since+downPuts*size >= max(firstSnapshot, snapshot) {
			break
		}
	}
	before, missed := snapshots(other.Data), int64(0)
	victim.Signal(syscall.SIGKILL)
	_, _ = victim.Wait(5 * time.Second)
	killed := time.Now()
	for !hasNew(other.Data, before) {
		size, err := paced()
		if err != nil {
			return false, err
		}
		if missed += size; time.Since(killed) > 10*time.Second {
			return false, errors.New("the other control hosts took no snapshot")
		}
	}
	s.Record.Line("%s was down for %d ms and missed %d bytes of the log", victim.Name, time.Since(killed).Milliseconds(), missed)
	return missed > keptLog, nil
}

// install starts the control host. With trouble it kills it as its snapshot appears, and starts it again.
func install(victim *harness.Host, trouble bool, record *harness.Record) error {
	before := snapshots(victim.Data)
	if err := victim.Start(false); err != nil {
		return err
	}
	for began := time.Now(); !hasNew(victim.Data, before); {
		if time.Since(began) > 10*time.Second {
			return errors.New("the control host got no snapshot")
		}
	}
	if !trouble {
		return nil
	}
	victim.SignalQuickly(syscall.SIGKILL)
	_, _ = victim.Wait(5 * time.Second)
	record.Line("%s is started again after %d ms", victim.Name, restartDelay.Milliseconds())
	time.Sleep(restartDelay)
	return victim.Start(false)
}

// startsAgain starts the control host, up to three times, and reports whether it runs.
func startsAgain(victim *harness.Host, record *harness.Record) bool {
	for range 3 {
		time.Sleep(restartDelay)
		if err := victim.Start(false); err != nil {
			record.Line("%s: %v", victim.Name, err)
			return false
		}
		err, ended := victim.Wait(1500 * time.Millisecond)
		if !ended {
			return true
		}
		log, _ := os.ReadFile(victim.LogPath())
		lines := strings.Split(strings.TrimSpace(string(log)), "\n")
		record.Line("%s ended by itself: %v; its last line: %s", victim.Name, err, lines[len(lines)-1])
	}
	return false
}

// judgeLoss takes one other control host away, the loss that is to be borne, and reads the configuration.
func judgeLoss(s *harness.System, victim *harness.Host, version uint64, record *harness.Record) (int, error) {
	time.Sleep(5 * time.Second) // catchUpS
	_, down := victim.Wait(100 * time.Millisecond)
	s.Controls[0].Signal(syscall.SIGKILL)
	wanted := fmt.Sprintf("%08x", version)
	read := false
	for began := time.Now(); time.Since(began) < 2*contact; time.Sleep(200 * time.Millisecond) {
		for _, host := range s.Controls[1:] {
			status, got, err := s.Get(host)
			record.Line("operator: reads %s: status %d, version %q, error %v", host.Name, status, got, err)
			read = read || got == wanted
		}
		if read {
			break
		}
	}
	record.Line("the program of %s does not start: %v; with one machine lost, version %s is read back: %v", victim.Name, down, wanted, read)
	if down || !read {
		record.Line("BROKEN")
		return broken, nil
	}
	return held, nil
}
