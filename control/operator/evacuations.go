package operator

import (
	"context"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

// learningTime is how long after its start a control host without a list of zones does not
// call a zone unknown: entry hosts report to it within a few seconds.
const learningTime = 5 * time.Second

// Evacuations implements the Twirp service Evacuations.
type Evacuations struct {
	name    string
	log     agreement.Log
	machine *state.Machine
	fleet   *fleet.Fleet
	logger  hclog.Logger
	own     string   // zone of this control host
	zones   []string // from the settings, nil if they do not list any
	started time.Time
}

// EvacuationsOption changes one property of the service.
type EvacuationsOption func(*Evacuations)

// WithOwnZone sets the zone of this control host, which is a known one.
func WithOwnZone(zone string) EvacuationsOption { return func(s *Evacuations) { s.own = zone } }

// WithZones sets the names of all zones.
func WithZones(zones []string) EvacuationsOption { return func(s *Evacuations) { s.zones = zones } }

// NewEvacuations returns the service of one control host.
func NewEvacuations(name string, log agreement.Log, machine *state.Machine, hosts *fleet.Fleet, logger hclog.Logger, opts ...EvacuationsOption) *Evacuations {
	s := &Evacuations{name: name, log: log, machine: machine, fleet: hosts, logger: logger.Named("evacuation"), started: time.Now()}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Order starts or ends the evacuation of a zone.
func (s *Evacuations) Order(ctx context.Context, req *wire.EvacuationOrder) (*wire.EvacuationResult, error) {
	if req.GetZone() == "" {
		return nil, twirp.RequiredArgumentError("zone")
	}
	// The state must be current: it says which zones have instances, and a later order than
	// the known ones overtakes this one.
	if err := s.log.Confirm(ctx); err != nil {
		return nil, ProposeError(agreement.ErrNoQuorum)
	}
	if problem := s.checkZone(req.GetZone()); problem != nil {
		return nil, problem
	}
	// Read before the check, so that no order counts as known that came after the caller left.
	known := s.machine.EvacuationOrders(req.GetZone())
	if err := expired(ctx); err != nil { // the caller may have sent another order elsewhere
		return nil, notTaken(err.Error())
	}
	order := &wire.EvacuationOrder{
		Zone: req.GetZone(), End: req.GetEnd(), Author: req.GetAuthor(), Reason: req.GetReason(), KnownOrders: known,
	}
	result, err := s.log.Propose(ctx, &wire.Command{At: time.Now().UnixNano(), Body: &wire.Command_Evacuation{Evacuation: order}})
	if err != nil {
		s.logger.Warn("evacuation not acknowledged", "zone", order.GetZone(), "end", order.GetEnd(), "author", order.GetAuthor(), "error", err)
		return nil, ProposeError(err)
	}
	done := result.GetEvacuation()
	if done == nil {
		s.logger.Warn("evacuation not acknowledged: the leader runs a build without evacuations", "zone", order.GetZone(), "end", order.GetEnd())
		return nil, ProposeError(agreement.ErrUncertain) // newer replicas have applied it
	}
	s.logger.Info("evacuation ordered", "zone", order.GetZone(), "end", order.GetEnd(), "author", order.GetAuthor(),
		"reason", order.GetReason(), "changed", done.GetChanged(), "overtaken", done.GetOvertaken(), "revision", done.GetRevision())
	if done.GetOvertaken() {
		return nil, notTaken("another order for the zone came first; look at the list and send this one again")
	}
	return done, nil
}

// expired returns why a context has ended, also if its deadline has passed and its timer has not
// run yet, as after a pause of the process.
func expired(ctx context.Context) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// notTaken returns the error of an order that is not carried out, now or later.
func notTaken(detail string) error {
	return twirp.NewError(twirp.Unavailable, detail).WithMeta(MetaTaken, TakenNo)
}

// checkZone returns an error for an unknown zone.
func (s *Evacuations) checkZone(zone string) error {
	if s.knows(zone) {
		return nil
	}
	if len(s.zones) == 0 && time.Since(s.started) < learningTime {
		return notTaken("this control host has just started and may not know every zone yet")
	}
	return twirp.NotFoundError("no host or instance is in zone " + zone)
}

func (s *Evacuations) knows(zone string) bool {
	if zone == s.own || slices.Contains(s.zones, zone) || s.machine.HasZone(zone) {
		return true
	}
	return slices.ContainsFunc(s.fleet.Hosts(time.Now()), func(host *wire.HostReport) bool { return host.GetZone() == zone })
}

// List returns the evacuated zones.
func (s *Evacuations) List(ctx context.Context, _ *wire.EvacuationsRequest) (*wire.EvacuationsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	stale := s.log.Confirm(ctx) != nil
	evacuations, revision := s.machine.Evacuations()
	return &wire.EvacuationsResponse{
		Evacuations: evacuations, Revision: revision, Stale: stale, AsOf: asOf(s.log, stale), ServedBy: s.name,
	}, nil
}
