package main

import (
	"errors"
	"time"

	"github.com/snipebeam/snipebeam/review/harness"
)

const (
	hostName = "counter.example"
	applyMs  = 2000 * time.Millisecond // configApplyMs

	rollbackMs = 250 * time.Millisecond // rollbackSlackMs
)

// startSystem starts a deployment with a configuration and waits until its entry hosts are ready.
func startSystem(root string, record *harness.Record, controls, entries int, version uint64, document []byte) (*harness.System, error) {
	s, err := harness.NewSystem(root, record, controls, entries)
	if err != nil {
		return nil, err
	}
	if err := s.StartAll(); err != nil {
		s.Close()
		return nil, err
	}
	if _, err := s.Put(version, document, 20*time.Second); err != nil {
		s.Close()
		return nil, err
	}
	ready := harness.Until(20*time.Second, func() bool {
		for _, h := range s.Entries {
			if !h.Ready() {
				return false
			}
		}
		return true
	})
	if !ready {
		s.Close()
		return nil, errors.New("the entry hosts did not get ready")
	}
	return s, nil
}
