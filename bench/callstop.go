package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/cluster"
	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/standin/caller"
	"github.com/snipebeam/snipebeam/world/wire"
)

func init() { register("call", measureStops) }

const callRules = `route photos POST: deadline 10s, finish, maxBody 300MB # bench: long uploads
route lookup: deadline 2s, retries 1 # bench: short requests
route pay POST /once/**: deadline 5s, once Idempotency-Key # bench: at most once
route pay POST: deadline 5s # bench: the same without a claim
`

// Sizes, load and timing of the measured stops.
const (
	stopHosts       = 6
	concurrentStops = 2
	uploadBytes     = 200 << 20
	uploadParts     = 100
	uploadPause     = 80 * time.Millisecond
	stopLimit       = time.Minute
	stopRate        = 200
	stopLoad        = 45 * time.Second
	stopTail        = time.Second
	submitAttempts  = 50
	submitPause     = 200 * time.Millisecond
	announceTime    = 2 * time.Second
	lookupInstances = 4
	programs        = "entry control standin"
)

// measureStops counts the requests that planned stops interrupt: a host is
// stopped during an upload, and all hosts are restarted under load.
func measureStops(emit func(figure.Figure)) error {
	c, done, err := callCluster(stopHosts)
	if err != nil {
		return err
	}
	defer done()
	if _, _, err := c.StartInstance("photos-1", "photos", "a", "--work", "1ms"); err != nil {
		return err
	}
	for n := range lookupInstances {
		if _, _, err := c.StartInstance(fmt.Sprint("lookup-", n), "lookup", "a", "--work", "2ms"); err != nil {
			return err
		}
	}
	time.Sleep(announceTime)
	var group sync.WaitGroup
	var summary caller.Summary
	group.Go(func() {
		summary = caller.Run(context.Background(), caller.Config{
			EntryAddresses: c.PlatformAddresses(), Service: "lookup", Zone: "a", Method: http.MethodPost, Path: "/x", BodyBytes: 64, Rate: stopRate, Duration: stopLoad,
		})
	})
	uploadErr := uploadThroughStop(c)
	restartErr := rollingRestart(c)
	group.Wait()
	if restartErr != nil {
		return restartErr
	}
	interrupted := summary.Sent - summary.Outcomes["answer"]
	note := fmt.Sprintf("one 200 MB upload stopped halfway, %d requests during a restart of %d hosts, %d at a time: %v", summary.Sent, stopHosts, concurrentStops, summary.Outcomes)
	if uploadErr != nil {
		interrupted++
		note += "; upload: " + uploadErr.Error()
	}
	emit(figure.AtMost("call", "cutByPlannedStop", float64(interrupted), "requests", 0).WithNote(note))
	return nil
}

// callCluster builds the programs and starts a cluster of processes with the
// rules of this area. The returned function stops it and removes its files.
func callCluster(entries int) (*cluster.Cluster, func(), error) {
	dir, err := os.MkdirTemp("", "snipebeam-call-")
	if err != nil {
		return nil, nil, errors.Wrap(err, "create folder")
	}
	remove := func() { _ = os.RemoveAll(dir) }
	for _, program := range bytes.Fields([]byte(programs)) {
		target := filepath.Join(dir, "snipebeam-"+string(program))
		if out, err := exec.Command("go", "build", "-o", target, "./"+string(program)).CombinedOutput(); err != nil {
			remove()
			return nil, nil, errors.Wrapf(err, "build %s: %s", program, out)
		}
	}
	c, err := cluster.New(dir, dir)
	if err != nil {
		remove()
		return nil, nil, err
	}
	done := func() {
		c.Close()
		remove()
	}
	if err := startCallCluster(c, entries); err != nil {
		done()
		return nil, nil, err
	}
	return c, done, nil
}

func startCallCluster(c *cluster.Cluster, entries int) error {
	if err := c.StartControl(3); err != nil {
		return err
	}
	if err := c.StartEntries(entries, "a"); err != nil {
		return err
	}
	if err := submitRules(c); err != nil {
		return err
	}
	return c.WaitReady()
}

func submitRules(c *cluster.Cluster) error {
	req := &wire.SubmitRequest{SubmissionId: "bench", Text: callRules, Author: "bench", Reason: "measure"}
	var lastErr error
	for n := range submitAttempts {
		address := c.Controls[n%len(c.Controls)].Peers
		response, err := wire.NewRulesProtobufClient("http://"+address, http.DefaultClient).Submit(context.Background(), req)
		if err == nil && response.GetAccepted() {
			return nil
		}
		lastErr = errors.Errorf("rules not accepted: %v %s", err, response.GetRefusal())
		time.Sleep(submitPause)
	}
	return lastErr
}

// slowUpload is a request body that is read in parts, and calls a function
// halfway.
type slowUpload struct {
	remaining int
	digest    *xxhash.Digest
	atHalf    func()
	part      []byte
}

// Read returns the next bytes, with a pause before each part.
func (u *slowUpload) Read(p []byte) (int, error) {
	if u.remaining == 0 {
		return 0, io.EOF
	}
	const partBytes = uploadBytes / uploadParts
	if u.remaining%partBytes == 0 {
		time.Sleep(uploadPause)
	}
	if u.remaining == uploadBytes/2 {
		u.atHalf()
	}
	n := min(len(p), u.remaining, (u.remaining-1)%partBytes+1)
	for k := range n {
		p[k] = byte(u.remaining + k)
	}
	u.remaining -= n
	_, _ = u.digest.Write(p[:n])
	return n, nil
}

func uploadThroughStop(c *cluster.Cluster) error {
	entry := c.Entries[0]
	upload := &slowUpload{remaining: uploadBytes, digest: xxhash.New(), atHalf: func() { _ = entry.Signal(syscall.SIGTERM) }}
	req, err := http.NewRequest(http.MethodPost, "http://"+entry.Callers+"/photos/1", upload)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Host, req.ContentLength = "photos", uploadBytes
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "upload")
	}
	defer func() { _ = response.Body.Close() }()
	var received struct {
		BodyBytes  int    `json:"bodyBytes"`
		BodyDigest string `json:"bodyDigest"`
	}
	if err := json.NewDecoder(response.Body).Decode(&received); err != nil {
		return errors.Wrapf(err, "decode response %s", response.Status)
	}
	if received.BodyBytes != uploadBytes || received.BodyDigest != fmt.Sprintf("%016x", upload.digest.Sum64()) {
		return errors.Errorf("upload corrupted: %d bytes received, size or digest differs", received.BodyBytes)
	}
	if err := entry.Wait(stopLimit); err != nil {
		return errors.Wrap(err, "wait for the stopped host")
	}
	if err := c.Restart(entry, entry.Name(), "snipebeam-entry"); err != nil {
		return err
	}
	return c.WaitReady() // a process that has just started does not handle signals yet
}

// rollingRestart gracefully restarts every host, concurrentStops at a time.
func rollingRestart(c *cluster.Cluster) error {
	for from := 0; from < len(c.Entries); from += concurrentStops {
		results := make(chan error, concurrentStops)
		for _, entry := range c.Entries[from : from+concurrentStops] {
			go func() {
				err := entry.Terminate(stopLimit)
				if err == nil {
					err = c.Restart(entry, entry.Name(), "snipebeam-entry")
				}
				results <- err
			}()
		}
		for range concurrentStops {
			if err := <-results; err != nil {
				return err
			}
		}
		if err := c.WaitReady(); err != nil {
			return err
		}
		time.Sleep(stopTail)
	}
	return nil
}
