package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Route is one route of a configuration.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutMs, AimMs, Attempts        int
}

// Resource is one item of a configuration.
type Resource struct {
	Type     string         `json:"resourceType"`
	Metadata map[string]any `json:"metadata"`
	Spec     map[string]any `json:"spec"`
}

// Document returns the body of a configuration.
func Document(version uint64, routes []Route, services ...string) []byte {
	var all []Resource
	for _, r := range routes {
		all = append(all, Resource{Type: "routes", Metadata: map[string]any{"name": r.Name}, Spec: map[string]any{
			"hostname": r.Host, "pathPrefix": r.Prefix, "routeType": r.Kind, "timeoutMs": r.TimeoutMs, "targetLatencyMs": r.AimMs,
			"priority": 1, "service": r.Service, "maxAttempts": r.Attempts,
		}})
	}
	for _, s := range services {
		all = append(all, Resource{Type: "services", Metadata: map[string]any{"name": s}, Spec: map[string]any{
			"healthPath": "/healthz", "maxConnections": 491, "protocol": "h1", "tls": false,
		}})
	}
	all = append(all, Resource{Type: "limits", Metadata: map[string]any{}, Spec: map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}})
	body, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": all})
	return body
}

var operatorClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// Put sends a configuration, again and again to one control host after the other, until
// it is acknowledged or refused, or the limit has passed.
func (s *System) Put(version uint64, body []byte, limit time.Duration) (acknowledged time.Time, err error) {
	began, last := time.Now(), ""
	for n := 0; time.Since(began) < limit; n++ {
		host := s.Controls[n%len(s.Controls)]
		response, err := operatorClient.Post("http://"+host.ControlAddress()+"/v1/Config.Put", "application/json", bytes.NewReader(body))
		if err != nil {
			last = err.Error()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			now := time.Now()
			s.Record.Line("operator: version %08x, %d bytes, acknowledged by %s", version, len(body), host.Name)
			return now, nil
		}
		last = response.Status + " " + string(text)
		if response.StatusCode < 500 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.Record.Line("operator: version %08x not acknowledged: %s", version, last)
	return time.Time{}, fmt.Errorf("version %08x not acknowledged: %s", version, last)
}

// Get reads the configuration from one control host.
func (s *System) Get(host *Host) (status int, version string, err error) {
	response, err := operatorClient.Get("http://" + host.ControlAddress() + "/v1/Config.Get")
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	var doc struct {
		Version string `json:"version"`
	}
	if response.StatusCode == http.StatusOK {
		err = json.NewDecoder(response.Body).Decode(&doc)
	}
	return response.StatusCode, doc.Version, err
}
