package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/cluster"
	"github.com/snipebeam/snipebeam/world/wire"
)

// heartbeatInterval is how often an instance renews its announcement, a third of
// the lease.
const heartbeatInterval = time.Second

// announcers simulates instances that announce themselves to the entry hosts from
// this process.
type announcers struct {
	fleet     *Fleet
	client    *http.Client
	httpBytes atomic.Int64 // HTTP bytes sent and received
	cancel    context.CancelFunc
	ctx       context.Context
	group     sync.WaitGroup

	mu       sync.Mutex
	count    int
	draining map[string]bool
}

func newAnnouncers(f *Fleet) *announcers {
	a := &announcers{fleet: f, draining: map[string]bool{}}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.client = &http.Client{Timeout: callLimit, Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &countingConn{Conn: conn, bytes: &a.httpBytes}, err
		},
	}}
	return a
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the received bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the sent bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (a *announcers) stop() {
	a.cancel()
	a.group.Wait()
}

func instanceName(n int) string { return fmt.Sprintf("i-%d", n) }

// Announce adds instances until there are n, and waits until every entry host
// lists all of them.
func (f *Fleet) Announce(n int) error {
	a := f.instances
	for ; a.count < n; a.count++ {
		at := a.count
		a.group.Go(func() { a.run(at) })
	}
	deadline := time.Now().Add(submitLimit * 3)
	for time.Now().Before(deadline) {
		if f.minKnownInstances() == n {
			return nil
		}
		time.Sleep(10 * retryPause)
	}
	return errors.Errorf("an entry host lists only %d of %d instances", f.minKnownInstances(), n)
}

// minKnownInstances returns the smallest number of instances that an entry host
// reports in its metrics.
func (f *Fleet) minKnownInstances() int {
	counts := make([]int, len(f.Entries))
	f.forEachEntry(func(n int, host *cluster.Host) { counts[n] = int(f.scrape(host)["snipebeam_instances"]) })
	smallest := counts[0]
	for _, count := range counts {
		smallest = min(smallest, count)
	}
	return smallest
}

func (a *announcers) run(n int) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for a.ctx.Err() == nil {
		_ = a.announce(n)
		select {
		case <-a.ctx.Done():
		case <-ticker.C:
		}
	}
}

// announce renews the lease of instance n at its entry host.
func (a *announcers) announce(n int) error {
	a.mu.Lock()
	draining := a.draining[instanceName(n)]
	a.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": fmt.Sprintf("s%d", n%ruleCount), "address": fmt.Sprintf("127.0.0.1:%d", 20000+n), "zone": "shawinigan",
		"slots": 3, "incarnation": 1, "draining": draining,
	})
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	host := a.fleet.Entries[n%len(a.fleet.Entries)]
	req, err := http.NewRequestWithContext(a.ctx, http.MethodPut, "http://"+host.Platform+"/v1/instances/"+instanceName(n), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create announcement request")
	}
	response, err := a.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer func() { _ = response.Body.Close() }()
	var lease map[string]any
	return json.NewDecoder(response.Body).Decode(&lease)
}

// Drain changes the draining state of an instance and returns the time from its
// announcement until every entry host has the new state.
func (f *Fleet) Drain(n int, draining bool) (time.Duration, error) {
	f.instances.mu.Lock()
	f.instances.draining[instanceName(n)] = draining
	f.instances.mu.Unlock()
	start := time.Now()
	if err := f.instances.announce(n); err != nil {
		return 0, err
	}
	took := make([]time.Duration, len(f.Entries))
	f.forEachEntry(func(at int, host *cluster.Host) { took[at] = f.waitDraining(host, n, draining, start) })
	worst := time.Duration(0)
	for _, one := range took {
		worst = max(worst, one)
	}
	return worst, nil
}

func (f *Fleet) waitDraining(host *cluster.Host, n int, draining bool, start time.Time) time.Duration {
	entry := wire.NewEntryProtobufClient("http://"+host.Peers, f.client)
	req := &wire.InstancesRequest{Service: fmt.Sprintf("s%d", n%ruleCount)}
	for time.Since(start) < submitLimit {
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		response, err := entry.Instances(ctx, req)
		cancel()
		if err == nil && reportsDraining(response, instanceName(n), draining) {
			break
		}
		time.Sleep(retryPause)
	}
	return time.Since(start)
}

// reportsDraining reports whether an instance is listed with the given draining
// state.
func reportsDraining(response *wire.InstancesResponse, id string, draining bool) bool {
	for _, one := range response.GetInstances() {
		if one.GetInstance().GetId() == id {
			return one.GetInstance().GetDraining() == draining
		}
	}
	return false
}
