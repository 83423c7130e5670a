package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/snipebeam/control"
	"github.com/snipebeam/snipebeam/snipebeam/terminal"
	"github.com/snipebeam/snipebeam/world/wire"
)

type statusCommand struct{ watching }

// memberView is a member of the control group in JSON.
type memberView struct {
	Name      string `json:"name"`
	Address   string `json:"address"`
	Role      string `json:"role"`
	Identity  string `json:"identity"`
	Reachable bool   `json:"reachable"`
	Behind    uint64 `json:"entriesBehind"`
}

// statusView is the status in JSON.
type statusView struct {
	ServedBy          string       `json:"servedBy"`
	AsOf              string       `json:"asOf"`
	Quorum            bool         `json:"quorum"`
	Leader            string       `json:"leader"`
	Term              uint64       `json:"term"`
	CommitIndex       uint64       `json:"commitIndex"`
	Version           versionView  `json:"version"`
	ClaimsOutstanding uint64       `json:"claimsOutstanding"`
	ClaimsUnknown     uint64       `json:"claimsUnknown"`
	Members           []memberView `json:"members"`
	Hosts             []hostView   `json:"hosts"`
}

// Run prints the control group and every host.
func (c *statusCommand) Run(g *Globals) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	return c.repeat(g, func(ctx context.Context, out *terminal.Output) error { return showStatus(ctx, client, out) })
}

func showStatus(ctx context.Context, client *control.Client, out *terminal.Output) error {
	status, err := client.Status(ctx)
	if err != nil {
		return errors.Wrap(err, "read status")
	}
	writeGroup(out, status)
	view := viewStatus(status)
	if err := out.Show(view, hostRows(out, view.Hosts)); err != nil {
		return err
	}
	return statusProblem(status, view.Hosts)
}

func viewStatus(s *wire.StatusResponse) statusView {
	view := statusView{
		ServedBy: s.GetServedBy(), AsOf: when(s.GetAsOf()), Quorum: s.GetQuorum(), Leader: s.GetLeader(),
		Term: s.GetTerm(), CommitIndex: s.GetCommitIndex(), Version: viewVersion(s.GetVersion()),
		ClaimsOutstanding: s.GetClaimsOutstanding(), ClaimsUnknown: s.GetClaimsUnknown(),
		Members: []memberView{}, Hosts: viewHosts(s),
	}
	for _, m := range s.GetMembers() {
		view.Members = append(view.Members, memberView{
			Name: m.GetName(), Address: m.GetAddress(), Role: m.GetRole(), Identity: m.GetIdentity(),
			Reachable: m.GetReachable(), Behind: behind(s.GetCommitIndex(), m.GetMatchIndex()),
		})
	}
	return view
}

func behind(newest, own uint64) uint64 {
	if own >= newest {
		return 0
	}
	return newest - own
}

func writeGroup(out *terminal.Output, s *wire.StatusResponse) {
	quorum := out.Good("quorum")
	if !s.GetQuorum() {
		quorum = out.Bad("NO QUORUM")
	}
	v := s.GetVersion()
	out.Line("version %d in force, by %s at %s: %s", v.GetNumber(), v.GetAuthor(), when(v.GetAcceptedAt()), reasonOf(v.GetReason()))
	out.Line("%s, leader %s, term %d, commit index %d; as of %s, from %s", quorum, nobody(s.GetLeader()), s.GetTerm(), s.GetCommitIndex(), when(s.GetAsOf()), s.GetServedBy())
	unknown := fmt.Sprint(s.GetClaimsUnknown())
	if s.GetClaimsUnknown() > 0 {
		unknown = out.Warning(unknown)
	}
	out.Line("claims: %d outstanding, %s unknown", s.GetClaimsOutstanding(), unknown)
	for _, m := range s.GetMembers() {
		state := out.Good("reachable")
		if !m.GetReachable() {
			state = out.Bad("not reachable")
		}
		out.Line("  member %s (%s) %s: %s", m.GetName(), m.GetRole(), m.GetAddress(), state)
	}
	out.Line("")
}

func nobody(name string) string {
	if name == "" {
		return "not known"
	}
	return name
}

// statusProblem returns the error of a status that does not show everything.
func statusProblem(s *wire.StatusResponse, hosts []hostView) error {
	if !s.GetQuorum() {
		return staleAnswer(s.GetAsOf())
	}
	var silent []string
	for _, h := range hosts {
		if h.State == stateSilent {
			silent = append(silent, h.Name)
		}
	}
	return unheard(silent)
}
