// Package operator serves the Twirp service Rules to operators and to entry
// hosts that watch for new versions.
//
// Usage:
//
//	rules := operator.New("control-1", log, machine, fleet)
//	mux.Handle(wire.RulesPathPrefix, wire.NewRulesServer(rules))
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

// Bounds of one call.
const (
	maxHistory   = 10_000
	confirmLimit = time.Second
	maxTextBytes = rule.MaxFileBytes
)

// Rules implements the Twirp service.
type Rules struct {
	name    string
	zone    string
	names   Directory // nil: watchers are not told of names
	log     agreement.Log
	machine *state.Machine
	fleet   *fleet.Fleet
	watched watched
	whole   watched // from an empty text
	shared  *confirmer
	checked atomic.Pointer[rule.Set] // the last submission without errors
}

// New returns the service of one control host.
func New(name string, log agreement.Log, machine *state.Machine, hosts *fleet.Fleet) *Rules {
	return &Rules{name: name, log: log, machine: machine, fleet: hosts, shared: newConfirmer(log)}
}

// Directory tells how entry hosts divide what callers of names ask for.
type Directory interface {
	// ActiveHosts returns the largest number of entry hosts that serve one name.
	ActiveHosts() int
}

// WithDirectory sets how watchers are told what part they have.
func (s *Rules) WithDirectory(names Directory) *Rules {
	s.names = names
	return s
}

// WithZone sets the availability zone that watchers are told.
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
	set, findings := rule.ParseIncremental(s.checked.Load(), "rules", req.GetText())
	if err := findings.Err(); err != nil {
		return nil, twirp.InvalidArgumentError("text", err.Error())
	}
	s.checked.Store(set)
	cmd := &wire.Command{At: time.Now().UnixNano(), Body: &wire.Command_Submit{Submit: req}}
	result, err := s.log.Propose(ctx, cmd)
	if err != nil {
		return nil, ProposeError(err)
	}
	return result.GetSubmit(), nil
}

// MetaTaken is the key under which an error says whether the command may still
// be carried out: TakenNo or TakenUnknown.
const MetaTaken = "taken"

// Values of MetaTaken.
const (
	TakenNo      = "no"
	TakenUnknown = "unknown"
)

// ProposeError turns an error of the log into one of Twirp.
func ProposeError(err error) error {
	taken := TakenUnknown
	if errors.Is(err, agreement.ErrNotLeader) || errors.Is(err, agreement.ErrNoQuorum) {
		taken = TakenNo
	}
	return twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()).WithMeta(MetaTaken, taken), err)
}

// Read returns one version.
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

// document is told with the version in force alone.
func (s *Rules) document(req *wire.ReadRequest) []byte {
	if req.GetNumber() > 0 {
		return nil
	}
	return s.machine.Document()
}

func (s *Rules) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	return s.log.Confirm(ctx)
}

// asOf returns now for a current answer, and for a stale one the time at which
// a quorum was last heard; zero if that was never.
func (s *Rules) asOf(stale bool) int64 {
	if !stale {
		return time.Now().UnixNano()
	}
	if heard := s.log.Status().AsOf(); !heard.IsZero() {
		return heard.UnixNano()
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
	held, unknown := s.machine.CountClaims()
	return &wire.StatusResponse{
		ServedBy: s.name, AsOf: s.asOf(!current), Quorum: current, Leader: status.Leader(),
		Term: status.Term(), Members: status.Members(), Hosts: s.fleet.Hosts(time.Now()), Version: version,
		ClaimsOutstanding: uint64(held), ClaimsUnknown: uint64(unknown), CommitIndex: status.CommitIndex(),
	}, nil
}
