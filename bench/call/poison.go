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

// fragileInstance is an instance that one body kills for good.
type fragileInstance struct {
	mu       sync.Mutex
	listener *listener
	crashed  bool
}

// ServeHTTP answers, or dies with all its links.
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

// PoisonResult is what resending a poison request cost.
type PoisonResult struct {
	InstancesLost int // instances
	HealthyFailed int // requests of others that had no answer, of Others
	HealthySent   int
}

// Poison sends a request that kills each instance that runs it through entry
// hosts in turn, with innocent requests beside it.
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
	books := make([]*poison.Tracker, hosts)
	for n := range hosts {
		books[n] = poison.NewTracker(poison.WithBroadcast(func(_ context.Context, suspects []*wire.Suspect) {
			for other := range books {
				if other != n {
					books[other].Merge(suspects, time.Now())
				}
			}
		}))
	}
	for n := range hosts {
		t.hosts = append(t.hosts, t.startHost(n, books[n]))
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
