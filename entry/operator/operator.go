// Package operator serves the Twirp service Entry to operators: what this host
// sees of its instances, its backlog and its own state.
//
// Usage:
//
//	service := operator.New(operator.Parts{...})
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

// Config are what the service works with.
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
	parts Config
}

// New returns the service of one entry host.
func New(parts Config) *Service { return &Service{parts: parts} }

// Instances lists the instances as this host sees them.
func (s *Service) Instances(_ context.Context, req *wire.InstancesRequest) (*wire.InstancesResponse, error) {
	response := &wire.InstancesResponse{ServedBy: s.parts.Host, AsOf: time.Now().UnixNano()}
	for name, view := range s.parts.Views.All() {
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
	case m.Instance().Cold():
		return "cold"
	default:
		return "ready"
	}
}

// Backlog lists what is waiting and in flight at this host.
func (s *Service) Backlog(_ context.Context, req *wire.BacklogRequest) (*wire.BacklogResponse, error) {
	response := &wire.BacklogResponse{ServedBy: s.parts.Host, AsOf: time.Now().UnixNano()}
	for _, line := range s.parts.Backlog.Services(time.Now()) {
		if req.GetService() == "" || req.GetService() == line.GetService() {
			response.Services = append(response.Services, line)
		}
	}
	return response, nil
}

// HostStatus describes this host.
func (s *Service) HostStatus(context.Context, *wire.HostStatusRequest) (*wire.HostStatusResponse, error) {
	return &wire.HostStatusResponse{
		Report: s.parts.Report(), AsOf: time.Now().UnixNano(), DecisionLinesDropped: s.parts.Decisions.Dropped(),
	}, nil
}

// Drain starts or ends draining this host.
func (s *Service) Drain(_ context.Context, req *wire.DrainRequest) (*wire.DrainResponse, error) {
	s.parts.Drain(req.GetDrain())
	inFlight, oldest := s.parts.Backlog.InFlight(time.Now())
	return &wire.DrainResponse{State: s.parts.Report().GetState(), InFlight: uint32(inFlight), OldestNs: int64(oldest)}, nil
}

// SetLogLevel changes the log level while the program runs.
func (s *Service) SetLogLevel(_ context.Context, req *wire.LogLevelRequest) (*wire.LogLevelResponse, error) {
	if err := logging.SetLevel(s.parts.Logger, req.GetPackage(), req.GetLevel()); err != nil {
		return nil, twirp.InvalidArgumentError("level", err.Error())
	}
	return &wire.LogLevelResponse{Level: req.GetLevel()}, nil
}
