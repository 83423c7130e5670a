package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// plain is a client that opens a connection for each call and follows redirects twice.
var plain = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// Item is one entry of a configuration.
type Item struct {
	Type string         `json:"resourceType"`
	Meta map[string]any `json:"metadata"`
	Spec map[string]any `json:"spec"`
}

// Route returns a route to one service.
func Route(name, hostname, prefix, kind, service string, timeoutMs, attempts int) Item {
	return Item{Type: "routes", Meta: map[string]any{"name": name}, Spec: map[string]any{
		"hostname": hostname, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeoutMs,
		"targetLatencyMs": 800, "priority": 1, "service": service, "maxAttempts": attempts,
	}}
}

// Service returns a service.
func Service(name string) Item {
	return Item{Type: "services", Meta: map[string]any{"name": name}, Spec: map[string]any{
		"healthPath": "/healthz", "maxConnections": 491, "protocol": "h1", "tls": false,
	}}
}

// Limits returns the limits on clients.
func Limits() Item {
	return Item{Type: "limits", Meta: map[string]any{}, Spec: map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}}
}

// Configuration returns the body of a configuration.
func Configuration(version int, items ...Item) []byte {
	body, err := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": items})
	if err != nil {
		panic(err)
	}
	return body
}

// Call makes one call to a control address. The status is 0 without a response.
func (s *Site) Call(method, address, path string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := plain.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// Put sends a configuration to machines in turn until one acknowledges it, and returns that one.
func (s *Site) Put(body []byte, limit time.Duration, to ...*Node) (*Node, bool) {
	pause, answers := 50*time.Millisecond, map[int]int{}
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, n := range to {
			status, _ := s.Call(http.MethodPost, n.ControlAddress(), "/v1/Config.Put", body)
			if answers[status]++; status == http.StatusOK {
				s.Note("operator: %s acknowledged configuration %s", n.name, versionOf(body))
				return n, true
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	s.Note("operator: no machine acknowledged configuration %s within %s; calls by status, 0 for no answer: %v", versionOf(body), limit, answers)
	return nil, false
}

// versionOf returns the version in a configuration, empty if there is none.
func versionOf(body []byte) string {
	var document struct {
		Version string `json:"version"`
	}
	_ = json.Unmarshal(body, &document)
	return document.Version
}

// Read reads the configuration at a machine. The version is empty if the answer has none.
func (s *Site) Read(n *Node) (status int, version string) {
	status, answer := s.Call(http.MethodGet, n.ControlAddress(), "/v1/Config.Get", nil)
	if status != http.StatusOK {
		return status, ""
	}
	return status, versionOf(answer)
}
