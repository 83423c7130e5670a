package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/key"
)

// heartbeatInterval is how often an announcement is renewed.
const heartbeatInterval = time.Second

// maxEntries limits the entry hosts that an instance may announce itself to.
const maxEntries = 64

// announcement is the body of PUT /v1/instances/ID at an entry host.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Slots       int    `json:"slots"`
	Cold        bool   `json:"cold"`
	Draining    bool   `json:"draining"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

// announceResponse is the body of an entry host's response.
type announceResponse struct {
	Alternates []string `json:"alternates"`
}

// Announcer renews an instance's announcement at one of several entry hosts.
type Announcer struct {
	server      *Server
	address     string
	zone        string
	entries     []string
	logger      hclog.Logger
	client      *http.Client
	incarnation uint64
	sequence    uint64 // of the latest announcement
	next        int
}

// NewAnnouncer returns an announcer; entries are addresses of platform listeners,
// and the ring holds the instances' key.
func NewAnnouncer(server *Server, address, zone string, entries []string, ring *key.Ring, logger hclog.Logger) *Announcer {
	a := &Announcer{
		server: server, address: address, zone: zone, entries: entries, logger: logger,
		client: ring.Client(&http.Client{Timeout: heartbeatInterval}), incarnation: uint64(time.Now().UnixNano()),
	}
	if len(entries) > 0 {
		a.next = int(xxhash.Sum64String(server.cfg.ID) % uint64(len(entries))) // spreads the instances over the entry hosts
	}
	return a
}

// Run announces the instance until the context is cancelled, then withdraws it.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval / 2)
	defer ticker.Stop()
	for {
		a.renew(ctx)
		select {
		case <-ctx.Done():
			a.leave()
			return
		case <-ticker.C:
		}
	}
}

// renew announces the instance unless it is silent.
func (a *Announcer) renew(ctx context.Context) {
	if a.server.Silent() {
		return
	}
	if err := a.Announce(ctx); err != nil && ctx.Err() == nil {
		a.logger.Warn("announcement failed", "error", err)
	}
}

// Announce renews the announcement at the first entry host that accepts it.
func (a *Announcer) Announce(ctx context.Context) error {
	cfg := a.server.cfg
	a.sequence++
	body, err := json.Marshal(announcement{
		Service: cfg.Service, Address: a.address, Zone: a.zone, Slots: cfg.Slots,
		Cold: a.server.Cold(), Draining: a.server.Draining(), Incarnation: a.incarnation, Sequence: a.sequence,
	})
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	var lastErr error
	for range a.entries {
		if lastErr = a.send(ctx, http.MethodPut, body); lastErr == nil {
			return nil
		}
		a.next = (a.next + 1) % len(a.entries)
	}
	return lastErr
}

func (a *Announcer) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatInterval)
	defer cancel()
	// If this fails, the lease expires.
	_ = a.send(ctx, http.MethodDelete, nil)
}

func (a *Announcer) send(ctx context.Context, method string, body []byte) error {
	url := "http://" + a.entries[a.next] + "/v1/instances/" + a.server.cfg.ID
	if method == http.MethodDelete {
		url += fmt.Sprintf("?incarnation=%d", a.incarnation)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	response, err := a.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("announce: %s", response.Status)
	}
	return a.addAlternates(response.Body)
}

// addAlternates adds the alternate entry hosts of the response to the list.
func (a *Announcer) addAlternates(body io.Reader) error {
	var response announceResponse
	if err := json.NewDecoder(body).Decode(&response); err != nil {
		return errors.Wrap(err, "decode response to an announcement")
	}
	for _, alternate := range response.Alternates {
		if len(a.entries) < maxEntries && !slices.Contains(a.entries, alternate) {
			a.entries = append(a.entries, alternate)
		}
	}
	return nil
}
