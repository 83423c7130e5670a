// Package operator serves the Twirp services Rules and Evacuations to operators, and
// Rules.Watch to entry hosts that watch for changes.
//
// Usage:
//
//	rules := operator.New("control-1", log, machine, fleet)
//	mux.Handle(wire.RulesPathPrefix, wire.NewRulesServer(rules))
//	evacuations := operator.NewEvacuations("control-1", log, machine, fleet, logger)
//	mux.Handle(wire.EvacuationsPathPrefix, wire.NewEvacuationsServer(evacuations))
package operator

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/rule"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

// Limits of one call.
const (
	maxHistory     = 10_000
	confirmTimeout = time.Second
	maxTextBytes   = rule.MaxFileBytes
)

// Rules implements the Twirp service Rules.
type Rules struct {
	name      string
	zone      string
	directory Directory // if nil, responses to watches have no number of active hosts
	admission Admission // nil: nobody decides
	log       agreement.Log
	machine   *state.Machine
	fleet     *fleet.Fleet
	deltas    deltaCache
	fullTexts deltaCache // deltas from the empty text
	confirmer *confirmer
	lastValid atomic.Pointer[rule.Set] // the last submission without errors, the base for parsing the next
}

// New returns the service of one control host.
func New(name string, log agreement.Log, machine *state.Machine, hosts *fleet.Fleet) *Rules {
	return &Rules{name: name, log: log, machine: machine, fleet: hosts, confirmer: newConfirmer(log)}
}

// Directory reports how requests are distributed over entry hosts.
type Directory interface {
	// ActiveHosts returns the largest number of entry hosts that serve one host
	// name.
	ActiveHosts() int
	// Relays returns the addresses for callers of entry hosts to which the named one can
	// relay requests.
	Relays(name, zone string) []string
}

// WithDirectory sets the source of the number of active hosts in responses to
// watches.
func (s *Rules) WithDirectory(d Directory) *Rules {
	s.directory = d
	return s
}

// Admission decides which part of the demand entry hosts admit.
type Admission interface {
	// Leads reports whether this control host decides.
	Leads() bool
	// Admissions returns the parts, empty if all of the demand is admitted or another
	// control host decides.
	Admissions() []*wire.Admission
}

// WithAdmission sets what decides which part of the demand is admitted.
func (s *Rules) WithAdmission(a Admission) *Rules {
	s.admission = a
	return s
}

// WithZone sets this host's availability zone for responses to watches.
func (s *Rules) WithZone(zone string) *Rules {
	s.zone = zone
	return s
}

// Submit checks a rules file and proposes it.
func (s *Rules) Submit(ctx context.Context, req *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	if req.GetSubmissionId() == "" {
		return nil, twirp.RequiredArgumentError("submission_id")
	}
	if len(req.GetText()) > maxTextBytes {
		return nil, twirp.InvalidArgumentError("text", fmt.Sprintf("is larger than %d bytes", maxTextBytes))
	}
	set, findings := rule.ParseIncremental(s.lastValid.Load(), "rules", req.GetText())
	if err := findings.Err(); err != nil {
		return nil, twirp.InvalidArgumentError("text", err.Error())
	}
	s.lastValid.Store(set)
	cmd := &wire.Command{At: time.Now().UnixNano(), Body: &wire.Command_Submit{Submit: req}}
	result, err := s.log.Propose(ctx, cmd)
	if err != nil {
		return nil, ProposeError(err)
	}
	return result.GetSubmit(), nil
}

// MetaTaken is the metadata key of an error that states whether the command may
// still be executed: TakenNo or TakenUnknown.
const MetaTaken = "taken"

// Values of MetaTaken.
const (
	TakenNo      = "no"
	TakenUnknown = "unknown"
)

// ProposeError converts an error of the log to a Twirp error.
func ProposeError(err error) error {
	taken := TakenUnknown
	if errors.Is(err, agreement.ErrNotLeader) || errors.Is(err, agreement.ErrNoQuorum) {
		taken = TakenNo
	}
	return twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()).WithMeta(MetaTaken, taken), err)
}

// Read returns one version of the rules, by default the one in force.
func (s *Rules) Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadResponse, error) {
	stale := s.confirm(ctx) != nil
	version, text := s.machine.InForce()
	if req.GetNumber() > 0 {
		version, text = s.machine.Version(req.GetNumber())
	}
	return &wire.ReadResponse{
		Version: version, Text: text, Stale: stale, AsOf: s.asOf(stale), ServedBy: s.name, Document: s.document(req),
	}, nil
}

// document returns the document of the version in force, or nil if the request
// is for a version by number.
func (s *Rules) document(req *wire.ReadRequest) []byte {
	if req.GetNumber() > 0 {
		return nil
	}
	return s.machine.Document()
}

func (s *Rules) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return s.log.Confirm(ctx)
}

func (s *Rules) asOf(stale bool) int64 { return asOf(s.log, stale) }

// asOf returns the current time for a confirmed response. For a stale one it
// returns when this host last had a quorum, or zero if it never had one.
func asOf(log agreement.Log, stale bool) int64 {
	if !stale {
		return time.Now().UnixNano()
	}
	if lastQuorum := log.Status().AsOf(); !lastQuorum.IsZero() {
		return lastQuorum.UnixNano()
	}
	return 0
}

// History lists accepted versions, newest first.
func (s *Rules) History(ctx context.Context, req *wire.HistoryRequest) (*wire.HistoryResponse, error) {
	stale := s.confirm(ctx) != nil
	limit := int(req.GetLimit())
	if limit <= 0 || limit > maxHistory {
		limit = maxHistory
	}
	return &wire.HistoryResponse{Versions: s.machine.History(limit), Stale: stale, AsOf: s.asOf(stale)}, nil
}

// Status describes the control group and the hosts that report to it.
func (s *Rules) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	current := s.confirm(ctx) == nil
	status := s.log.Status()
	version, _ := s.machine.InForce()
	outstanding, unknown := s.machine.CountClaims()
	return &wire.StatusResponse{
		ServedBy: s.name, AsOf: s.asOf(!current), Quorum: current, Leader: status.Leader(),
		Term: status.Term(), Members: status.Members(), Hosts: s.fleet.Hosts(time.Now()), Version: version,
		ClaimsOutstanding: uint64(outstanding), ClaimsUnknown: uint64(unknown), CommitIndex: status.CommitIndex(),
	}, nil
}
