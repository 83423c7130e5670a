// Command lostgroup takes a control machine away for good and adds its successor. Once the
// successor has had the time that the pages give it, another control machine loses its disk.
package main

import (
	"errors"
	"os"
	"time"

	"github.com/snipebeam/snipebeam/review/third/harness"
)

const (
	// catchUp is catchUpS of the site: a removed machine counts as lost until its successor
	// has had that time.
	catchUp = 4 * time.Second
	// addedAfter is the time from the removal to the start of the successor.
	addedAfter = 300 * time.Millisecond
	// readFor is how long the operator asks: more than recoveryS, 15 s, after all are back.
	readFor = 40 * time.Second
	// orderFor is how long the operator repeats one more change.
	orderFor = 15 * time.Second

	steady = 5 * time.Second // longer than catchUp, after the first configuration
	first  = 3               // versions
	second = 9
	third  = 12
)

func main() { os.Exit(harness.Main(run)) }

func configuration(version int) []byte {
	return harness.Configuration(version, harness.Service("shop"), harness.Route("r-1", "a.example", "/x/", "unsafe", "shop", 1500, 2), harness.Limits())
}

func run(s *harness.Site, trouble bool) (held bool, err error) {
	members := []*harness.Node{s.Control(1), s.Control(2), s.Control(3)}
	successor := s.Control(4)
	seeds := harness.Seeds(members...)
	for _, n := range members {
		if err := n.Start(seeds, true); err != nil {
			return false, err
		}
	}
	if _, ok := s.Put(configuration(first), 20*time.Second, members...); !ok {
		return false, errors.New("the first configuration is not acknowledged")
	}
	time.Sleep(steady)
	if trouble {
		members[0].Kill() // for good
		members = members[1:]
	}
	time.Sleep(addedAfter)
	if err := successor.Start(harness.Seeds(members...), false); err != nil {
		return false, err
	}
	caughtUp := time.Now().Add(catchUp)
	if _, ok := s.Put(configuration(second), catchUp, members...); !ok {
		return false, errors.New("the second configuration is not acknowledged")
	}
	members = append(members, successor)
	time.Sleep(time.Until(caughtUp) + 50*time.Millisecond)
	if trouble {
		lost := members[1]
		lost.Kill()
		if err := lost.LoseDisk(); err != nil {
			return false, err
		}
		if err := lost.Start(harness.Seeds(members...), false); err != nil {
			return false, err
		}
	}
	read := readBack(s, members, readFor)
	_, acknowledged := s.Put(configuration(third), orderFor, members...)
	return read && acknowledged, nil
}

// readBack reads the configuration until a machine answers with the newest acknowledged one.
func readBack(s *harness.Site, members []*harness.Node, limit time.Duration) bool {
	answers := map[int]int{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, n := range members {
			status, version := s.Read(n)
			answers[status]++
			if version != "" {
				s.Note("operator: %s answers a read with configuration %s", n.Name(), version)
				return version == "00000009"
			}
		}
	}
	s.Note("operator: no machine answers a read with a configuration within %s; reads by status, 0 for no answer: %v", limit, answers)
	return false
}
