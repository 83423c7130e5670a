package call

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/world/wire"
)

const poisonBody = "poison"

// fragileInstance is an instance that one request body crashes permanently.
type fragileInstance struct {
	mu       sync.Mutex
	listener *listener
	crashed  bool
}

// ServeHTTP echoes the body, or closes the listener and all connections on the
// poison body.
func (f *fragileInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err == nil && string(data) == poisonBody {
		f.mu.Lock()
		f.crashed = true
		f.mu.Unlock()
		f.listener.kill()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// PoisonResult is the effect of resending a poison request.
type PoisonResult struct {
	InstancesLost int // by the poison request
	HealthyFailed int // healthy requests without status 200, of HealthySent
	HealthySent   int
}

// Poison resends a request that crashes each instance that runs it, each time
// through the next entry host, and sends a healthy request after each.
func Poison(hosts, instances, resends int) (PoisonResult, error) {
	t := &Trial{times: Times{Deadline: time.Second}, net: newNetwork(), group: newGroup(), instanceCount: instances}
	t.transport = &http.Transport{DialContext: t.dial}
	t.client = &http.Client{Transport: t.transport}
	var all []*fragileInstance
	for n := range instances {
		f := &fragileInstance{listener: t.net.listen(fmt.Sprintf("i%d:1", n))}
		all = append(all, f)
		go func() { _ = (&http.Server{Handler: f, ReadHeaderTimeout: time.Minute}).Serve(f.listener) }()
	}
	trackers := make([]*poison.Tracker, hosts)
	for n := range hosts {
		trackers[n] = poison.NewTracker(poison.WithBroadcast(func(_ context.Context, suspects []*wire.Suspect) {
			for other := range trackers {
				if other != n {
					trackers[other].Merge(suspects, time.Now())
				}
			}
		}))
	}
	for n := range hosts {
		t.hosts = append(t.hosts, t.startHost(n, trackers[n]))
	}
	defer t.close()
	var result PoisonResult
	for n := range resends {
		if _, err := t.post(n%hosts, poisonBody); err != nil {
			return result, err
		}
		status, err := t.post((n+1)%hosts, fmt.Sprint("innocent ", n%7))
		if err != nil {
			return result, err
		}
		result.HealthySent++
		if status != http.StatusOK {
			result.HealthyFailed++
		}
	}
	for _, f := range all {
		f.mu.Lock()
		if f.crashed {
			result.InstancesLost++
		}
		f.mu.Unlock()
	}
	return result, nil
}

func (t *Trial) post(host int, body string) (int, error) {
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://e%d:1/list", host), strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set(caller.ServiceHeader, "shop")
	response, err := t.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
