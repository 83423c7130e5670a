package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	ID     string
	Sent   time.Time
	Status int // 0: the connection closed without an answer
	Header http.Header
	Body   string
	Err    error
	Took   time.Duration
}

// Client sends requests as the users' clients do.
type Client struct {
	system *System
	http   *http.Client
	mu     sync.Mutex
	sent   map[string]time.Time
}

// NewClient returns a client that keeps its connections.
func (s *System) NewClient() *Client {
	return &Client{system: s, sent: map[string]time.Time{}, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}}
}

// Resolve asks the directory for the addresses of a host name.
func (s *System) Resolve(name, zone string) ([]string, error) {
	var last error
	for _, c := range s.Controls {
		client := http.Client{Timeout: time.Second}
		response, err := client.Get("http://" + c.DirectoryAddress() + "/v1/resolve?" + url.Values{"name": {name}, "zone": {zone}, "region": {"region"}}.Encode())
		if err != nil {
			last = err
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&body)
		_ = response.Body.Close()
		if err == nil && len(body.Addresses) > 0 {
			return body.Addresses, nil
		}
		last = fmt.Errorf("status %d", response.StatusCode)
	}
	return nil, last
}

// Do sends one attempt to an address, with an identifier of its own.
func (c *Client) Do(address, method, host, path string, body []byte, deadline time.Duration) Answer {
	id := fmt.Sprintf("%016x", rand.Uint64())
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	answer := Answer{ID: id, Sent: time.Now()}
	c.mu.Lock()
	c.sent[id] = answer.Sent
	c.mu.Unlock()
	client := *c.http
	client.Timeout = deadline
	c.system.Record.Line("sent: request %s %s %s%s to %s, deadline %d ms", id, method, host, path, address, deadline.Milliseconds())
	response, err := client.Do(request)
	if err != nil {
		answer.Took = time.Since(answer.Sent)
		answer.Err = err
		c.system.Record.Line("answered: request %s: none: %v", id, err)
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	answer.Status, answer.Header, answer.Body, answer.Err = response.StatusCode, response.Header, string(text), err
	answer.Took = time.Since(answer.Sent)
	c.system.Record.Line("answered: request %s: %d %q, error %v", id, answer.Status, answer.Body, err)
	return answer
}

// Ready reports whether the platform finds the host ready.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ReadyAddress() + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Until waits until a condition holds, and reports whether it does within the limit.
func Until(limit time.Duration, holds func() bool) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// SentAt returns when a request was sent, zero if this client sent none with that identifier.
func (c *Client) SentAt(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}
