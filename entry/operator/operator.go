// Package operator serves the Twirp service Entry to operators: the instances as
// this host sees them, its backlog and its state.
//
// Usage:
//
//	service := operator.New(operator.Config{...})
//	mux.Handle(wire.EntryPathPrefix, wire.NewEntryServer(service))
package operator

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/logging"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

// Config holds the dependencies of the service.
type Config struct {
	Host      string
	Table     *rules.Table
	Views     *route.Views
	Backlog   *backlog.Tracker
	Decisions *decision.Log
	Report    func() *wire.HostReport
	Drain     func(drain bool)
	Logger    hclog.Logger
}

// Service implements the Twirp service.
type Service struct {
	cfg Config
}

// New returns the service of one entry host.
func New(cfg Config) *Service { return &Service{cfg: cfg} }

// Instances lists the instances as this host sees them.
func (s *Service) Instances(_ context.Context, req *wire.InstancesRequest) (*wire.InstancesResponse, error) {
	response := &wire.InstancesResponse{ServedBy: s.cfg.Host, AsOf: time.Now().UnixNano()}
	for name, view := range s.cfg.Views.All() {
		if req.GetService() == "" || req.GetService() == name {
			response.Instances = append(response.Instances, viewLines(view)...)
		}
	}
	return response, nil
}

func viewLines(view *route.View) []*wire.InstanceView {
	lines := make([]*wire.InstanceView, 0, len(view.Members()))
	for _, m := range view.Members() {
		i := m.Instance()
		lines = append(lines, &wire.InstanceView{
			Instance: &wire.Instance{
				Id: string(i.ID()), Service: i.Service(), Address: i.Address(), Zone: i.Zone(),
				Slots: uint32(i.Slots()), Cold: i.Cold(), Draining: i.Draining(), Incarnation: i.Incarnation(),
			},
			State: stateOf(m), InFlight: uint32(m.Load().InFlight()),
		})
	}
	return lines
}

func stateOf(m route.Member) string {
	switch {
	case m.Instance().Draining():
		return "draining"
	case m.Evacuated():
		return "evacuated"
	case m.Instance().Cold():
		return "cold"
	default:
		return "ready"
	}
}

// Backlog lists the queued and in-flight requests of each service at this host.
func (s *Service) Backlog(_ context.Context, req *wire.BacklogRequest) (*wire.BacklogResponse, error) {
	response := &wire.BacklogResponse{ServedBy: s.cfg.Host, AsOf: time.Now().UnixNano()}
	for _, line := range s.cfg.Backlog.Services(time.Now()) {
		if req.GetService() == "" || req.GetService() == line.GetService() {
			response.Services = append(response.Services, line)
		}
	}
	return response, nil
}

// HostStatus returns the status report of this host.
func (s *Service) HostStatus(context.Context, *wire.HostStatusRequest) (*wire.HostStatusResponse, error) {
	return &wire.HostStatusResponse{
		Report: s.cfg.Report(), AsOf: time.Now().UnixNano(), DecisionLinesDropped: s.cfg.Decisions.Dropped(),
	}, nil
}

// Drain starts or ends draining this host.
func (s *Service) Drain(_ context.Context, req *wire.DrainRequest) (*wire.DrainResponse, error) {
	s.cfg.Drain(req.GetDrain())
	inFlight, oldest := s.cfg.Backlog.InFlight(time.Now())
	return &wire.DrainResponse{State: s.cfg.Report().GetState(), InFlight: uint32(inFlight), OldestNs: int64(oldest)}, nil
}

// SetLogLevel changes the log level of one package or of all at run time.
func (s *Service) SetLogLevel(_ context.Context, req *wire.LogLevelRequest) (*wire.LogLevelResponse, error) {
	if err := logging.SetLevel(s.cfg.Logger, req.GetPackage(), req.GetLevel()); err != nil {
		return nil, twirp.InvalidArgumentError("level", err.Error())
	}
	return &wire.LogLevelResponse{Level: req.GetLevel()}, nil
}
