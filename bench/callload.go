package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/cluster"
	"github.com/snipebeam/snipebeam/bench/figure"
)

func init() { register("call", measureLoad) }

// Size of the load, and its bound.
const (
	addedBoundMs   = 0.99
	latencyCallers = 4
	latencyTime    = 6 * time.Second
	latencyPause   = 2 * time.Millisecond // between two requests of a caller
	rateCallers    = 48
	rateTime       = 2 * time.Second
	claimTime      = 4 * time.Second
	loadSlots      = "200"
	allocMetric    = "go_memstats_alloc_bytes_total"
	threadsSetting = "GOMAXPROCS"
)

var threadCounts = []int{1, 2, 4, 8}

// loader sends requests one after the other and records their latency.
type loader struct {
	client  *http.Client
	address string
	service string
	path    string
	body    string
	once    bool
	pause   time.Duration
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: rateCallers}}
}

func (l *loader) send() error {
	req, err := http.NewRequest(http.MethodPost, "http://"+l.address+l.path, bytes.NewReader([]byte(l.body)))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	req.Host = l.service
	if l.once {
		req.Header.Set("Idempotency-Key", uuid.NewString())
	}
	response, err := l.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected status: %s", response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return errors.Wrap(err, "read response")
}

// run sends from several callers concurrently and returns a histogram of the
// latency in microseconds.
func (l *loader) run(callers int, d time.Duration) (*hdrhistogram.Histogram, error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var runErr error
	all := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	until := time.Now().Add(d)
	for range callers {
		group.Go(func() {
			local := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			var err error
			for time.Now().Before(until) && err == nil {
				started := time.Now()
				err = l.send()
				_ = local.RecordValue(time.Since(started).Microseconds())
				time.Sleep(l.pause)
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(local)
			if err != nil {
				runErr = err
			}
		})
	}
	group.Wait()
	return all, runErr
}

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// measureLoad measures the latency that an entry host adds to a call, the
// latency that a claim adds, and the throughput of an entry host.
func measureLoad(emit func(figure.Figure)) error {
	c, done, err := callCluster(1)
	if err != nil {
		return err
	}
	defer done()
	var direct string
	for _, service := range []string{"lookup", "pay"} {
		_, address, err := c.StartInstance(service+"-1", service, "a", "--work", "0s", "--sigma", "0", "--slots", loadSlots)
		if err != nil {
			return err
		}
		direct = address
	}
	time.Sleep(announceTime)
	entry := c.Entries[0].Callers
	if err := measureAdded(emit, direct, entry); err != nil {
		return err
	}
	if err := measureClaimCost(emit, entry); err != nil {
		return err
	}
	return measureRates(emit, c)
}

// measureAdded measures the latency that an entry host adds. Callers with and
// without an entry host between them and the instance run at the same time, so
// that both see the same load of the machine.
func measureAdded(emit func(figure.Figure), direct, entry string) error {
	var group sync.WaitGroup
	var without, with *hdrhistogram.Histogram
	var err1, err2 error
	group.Go(func() {
		l := &loader{client: newClient(), address: direct, service: "pay", path: "/x", body: "b", pause: latencyPause}
		without, err1 = l.run(latencyCallers, latencyTime)
	})
	group.Go(func() {
		l := &loader{client: newClient(), address: entry, service: "pay", path: "/x", body: "b", pause: latencyPause}
		with, err2 = l.run(latencyCallers, latencyTime)
	})
	group.Wait()
	if err1 != nil || err2 != nil {
		return errors.Errorf("added latency: %v, %v", err1, err2)
	}
	note := fmt.Sprintf("direct p50 %.3f p99 %.3f ms, through an entry host p50 %.3f p99 %.3f ms, %d requests",
		quantileMs(without, 50), quantileMs(without, 99), quantileMs(with, 50), quantileMs(with, 99), with.TotalCount())
	emit(figure.AtMost("call", "addedLatencyP99Ms", quantileMs(with, 99)-quantileMs(without, 99), "ms", addedBoundMs).WithNote(note))
	return nil
}

func measureClaimCost(emit func(figure.Figure), entry string) error {
	plain := &loader{client: newClient(), address: entry, service: "pay", path: "/x", body: "b", pause: latencyPause}
	once := &loader{client: newClient(), address: entry, service: "pay", path: "/once/x", body: "b", once: true, pause: latencyPause}
	without, err := plain.run(latencyCallers, claimTime)
	if err != nil {
		return err
	}
	with, err := once.run(latencyCallers, claimTime)
	if err != nil {
		return err
	}
	note := fmt.Sprintf("%d claims by 3 control hosts on one disk", with.TotalCount())
	emit(figure.Plain("call", "claimAddsP50Ms", quantileMs(with, 50)-quantileMs(without, 50), "ms").WithNote(note))
	emit(figure.Plain("call", "claimAddsP99Ms", quantileMs(with, 99)-quantileMs(without, 99), "ms").WithNote(note))
	return nil
}

// measureRates measures the throughput of an entry host that is restarted with
// each number of threads.
func measureRates(emit func(figure.Figure), c *cluster.Cluster) error {
	entry := c.Entries[0]
	previous, isSet := os.LookupEnv(threadsSetting)
	defer restoreEnv(threadsSetting, previous, isSet)
	for _, threads := range threadCounts {
		entry.Kill()
		if err := os.Setenv(threadsSetting, strconv.Itoa(threads)); err != nil {
			return errors.Wrap(err, "set number of threads")
		}
		if err := c.Restart(entry, entry.Name(), "snipebeam-entry"); err != nil {
			return err
		}
		restoreEnv(threadsSetting, previous, isSet)
		if err := c.WaitReady(); err != nil {
			return err
		}
		time.Sleep(announceTime)
		if err := measureRate(emit, c, threads); err != nil {
			return err
		}
	}
	return nil
}

func restoreEnv(name, value string, isSet bool) {
	if !isSet {
		_ = os.Unsetenv(name)
		return
	}
	_ = os.Setenv(name, value)
}

func measureRate(emit func(figure.Figure), c *cluster.Cluster, threads int) error {
	entry := c.Entries[0]
	l := &loader{client: newClient(), address: entry.Callers, service: "lookup", path: "/x", body: "b"}
	if _, err := l.run(rateCallers, rateTime/4); err != nil {
		return err
	}
	before, err := metricOf(entry.Platform, allocMetric)
	if err != nil {
		return err
	}
	latencies, err := l.run(rateCallers, rateTime)
	if err != nil {
		return err
	}
	after, err := metricOf(entry.Platform, allocMetric)
	if err != nil {
		return err
	}
	n := float64(latencies.TotalCount())
	emit(figure.Plain("call", fmt.Sprintf("requestsPerSecond%dThreads", threads), n/rateTime.Seconds(), "1/s").WithNote("callers and instance on the same machine"))
	emit(figure.Plain("call", fmt.Sprintf("allocatedBytesPerRequest%dThreads", threads), (after-before)/n, "B"))
	return nil
}

// metricOf reads one metric without labels from a host's platform listener.
func metricOf(platform, name string) (float64, error) {
	response, err := http.Get("http://" + platform + "/metrics")
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	for line := range bytes.Lines(data) {
		fields := bytes.Fields(line)
		if len(fields) == 2 && string(fields[0]) == name {
			return strconv.ParseFloat(string(fields[1]), 64)
		}
	}
	return 0, errors.Errorf("metric %s not found", name)
}
