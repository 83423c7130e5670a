// Package peer speaks to the other entry hosts.
//
// Usage:
//
//	server := peer.NewServer(registry)
//	sender := peer.NewSender(hostName, client, watch.Entries)
//	sender.Announce(ctx, message)
package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/registry"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Server implements the Twirp service Peer.
type Server struct {
	registry *registry.Registry
	suspects *poison.Book
}

// NewServer returns the service of one entry host.
func NewServer(reg *registry.Registry, suspects *poison.Book) *Server {
	return &Server{registry: reg, suspects: suspects}
}

// Announce merges announcements that another entry host heard.
func (s *Server) Announce(_ context.Context, req *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	s.registry.Merge(req.GetInstances())
	return &wire.AnnounceResponse{}, nil
}

// Suspects takes fingerprints of requests that were in flight at lost
// instances, and returns those that this host knows.
func (s *Server) Suspects(_ context.Context, req *wire.SuspectsRequest) (*wire.SuspectsResponse, error) {
	s.suspects.Merge(req.GetSuspects(), time.Now())
	return &wire.SuspectsResponse{Suspects: s.suspects.Suspects()}, nil
}

// Sender passes announcements on.
type Sender struct {
	host    string
	client  *http.Client
	entries func() []*wire.HostReport
	logger  hclog.Logger
}

// NewSender returns a sender; entries lists the known entry hosts.
func NewSender(host string, client *http.Client, entries func() []*wire.HostReport, logger hclog.Logger) *Sender {
	return &Sender{host: host, client: client, entries: entries, logger: logger.Named("peer")}
}

// Announce sends one announcement to every other entry host and waits.
func (s *Sender) Announce(ctx context.Context, message *wire.Instance) {
	s.each(func(entry *wire.HostReport) { s.send(ctx, entry, message) })
}

// Suspects sends suspects to every other entry host and waits.
func (s *Sender) Suspects(ctx context.Context, suspects []*wire.Suspect) {
	s.each(func(entry *wire.HostReport) {
		remote := wire.NewPeerProtobufClient("http://"+entry.GetPeersAddress(), s.client)
		if _, err := remote.Suspects(ctx, &wire.SuspectsRequest{From: s.host, Suspects: suspects}); err != nil {
			s.logger.Warn("suspects not passed on", "to", entry.GetName(), "error", err)
		}
	})
}

// each calls a function for every other entry host at once and waits.
func (s *Sender) each(call func(entry *wire.HostReport)) {
	var group sync.WaitGroup
	for _, entry := range s.entries() {
		if entry.GetName() == s.host || entry.GetRole() != "entry" {
			continue
		}
		group.Go(func() { call(entry) })
	}
	group.Wait()
}

func (s *Sender) send(ctx context.Context, entry *wire.HostReport, message *wire.Instance) {
	remote := wire.NewPeerProtobufClient("http://"+entry.GetPeersAddress(), s.client)
	req := &wire.AnnounceRequest{From: s.host, Instances: []*wire.Instance{message}}
	if _, err := remote.Announce(ctx, req); err != nil {
		s.logger.Warn("announcement not passed on", "to", entry.GetName(), "error", err)
	}
}
