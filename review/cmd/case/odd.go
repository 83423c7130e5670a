package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/snipebeam/snipebeam/review/harness"
)

func init() { cases["odd-writer"] = oddWriter }

const (
	oddAsks  = 60
	oddPause = 250 * time.Millisecond
)

// oddWriter has another writer send one heartbeat for the address of each instance, of a service that
// the configuration doesn't name. Clients ask afterwards.
func oddWriter(root string, record *harness.Record, trouble bool) (int, error) {
	const service = "svc-old"
	s, err := startSystem(root, record, 3, 1, 1, harness.Document(1, relayRoutes(service), service))
	if err != nil {
		return failed, err
	}
	defer s.Close()
	runs := &harness.Runs{}
	var instances []*harness.Instance
	for n := range 3 {
		i, err := s.StartInstance(n, service, harness.Zones[n], garbleWork, runs, nil)
		if err != nil {
			return failed, err
		}
		instances = append(instances, i)
	}
	known := harness.Until(10*time.Second, func() bool {
		for _, i := range instances {
			if i.Acknowledged() == 0 {
				return false
			}
		}
		return true
	})
	if !known {
		return failed, errors.New("the instances were not acknowledged")
	}
	for n, i := range instances {
		if trouble {
			if err := oddHeartbeat(s, fmt.Sprintf("other-%d", n), i.Address, record); err != nil {
				return failed, err
			}
		}
	}
	time.Sleep(4 * time.Second)
	client := s.NewClient()
	served, before := 0, instances[0].Acknowledged()
	for range oddAsks {
		if client.Do(s.Entries[0].CallersAddress(), "POST", hostName, "/pay/1", []byte("order"), 3*time.Second).Status == http.StatusOK {
			served++
		}
		time.Sleep(oddPause)
	}
	record.Line("%d of %d requests were served; meanwhile %d heartbeats of %s were acknowledged", served, oddAsks, instances[0].Acknowledged()-before, instances[0].ID)
	if served == 0 {
		record.Line("BROKEN (Fault): no request is served")
		return broken, nil
	}
	return held, nil
}

func oddHeartbeat(s *harness.System, id, address string, record *harness.Record) error {
	body, err := json.Marshal(map[string]any{
		"service": "not-named", "address": address, "zone": harness.Zones[0], "version": "v1", "maxConcurrency": 3,
		"state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+s.Controls[0].ControlAddress()+"/v1/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	record.Line("another writer: heartbeat of %s for %s, service not-named: answered %d", id, address, response.StatusCode)
	return response.Body.Close()
}
