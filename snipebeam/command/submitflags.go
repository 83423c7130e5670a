package command

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/snipebeam/control"
	"github.com/snipebeam/snipebeam/snipebeam/difference"
	"github.com/snipebeam/snipebeam/snipebeam/submission"
	"github.com/snipebeam/snipebeam/world/wire"
)

// submitFlags holds the flags of commands that submit rules.
type submitFlags struct {
	Author       string        `help:"Who submits." env:"USER" default:"operator"`
	Reason       string        `help:"Why." short:"m"`
	Wait         bool          `help:"Wait until the version is in force on every host that is heard."`
	WaitLimit    time.Duration `help:"Time limit of --wait." default:"30s"`
	SubmissionID string        `help:"Identity of the submission; a new one, or that of the same submission whose answer was lost, by default."`
	StateDir     string        `help:"Folder that keeps submissions whose answer was lost." placeholder:"DIR"`
}

// proposal is a text to submit.
type proposal struct {
	text       string
	base       *uint64
	name       string // of the text, in differences
	rollbackOf uint64
}

// submissionView is the result of a submission in JSON.
type submissionView struct {
	Accepted     bool   `json:"accepted"`
	Version      uint64 `json:"version"` // the accepted one, or the one in force after a refusal
	SubmissionID string `json:"submissionId"`
	Refusal      string `json:"refusal,omitempty"`
	WinnerAuthor string `json:"winnerAuthor,omitempty"`
	WinnerReason string `json:"winnerReason,omitempty"`
	Difference   string `json:"difference,omitempty"`
}

func (s submitFlags) submit(g *Globals, p proposal) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	pending, err := s.pendingSubmission(client, g, p)
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	response, err := client.Submit(ctx, &wire.SubmitRequest{
		SubmissionId: pending.ID, BaseVersion: pending.Base, Text: p.text,
		Author: s.Author, Reason: s.Reason, RollbackOf: p.rollbackOf,
	})
	if err != nil {
		return s.submitError(pending, err)
	}
	if err := pending.Done(); err != nil {
		return err
	}
	if !response.GetAccepted() {
		return showRefused(g, p, pending, response)
	}
	return s.showAccepted(g, client, pending, response.GetVersion().GetNumber())
}

// pendingSubmission determines the submission's id and base version before it is
// sent. A stored submission of the same text is sent again as it was.
func (s submitFlags) pendingSubmission(client *control.Client, g *Globals, p proposal) (*submission.Pending, error) {
	folder := s.StateDir
	if folder == "" {
		folder = submission.DefaultFolder()
	}
	content := fmt.Sprintf("%d\x00%s", p.rollbackOf, p.text)
	if s.SubmissionID == "" {
		pending, err := submission.Find(folder, g.Control, content)
		if err != nil {
			return nil, err
		}
		if pending != nil {
			g.out().Line("sending submission %s of %s again: its answer was lost", pending.ID, pending.At.Format(time.DateTime))
			return pending, nil
		}
	}
	base, err := s.baseVersion(client, g, p)
	if err != nil {
		return nil, err
	}
	if s.SubmissionID != "" {
		return &submission.Pending{ID: s.SubmissionID, Base: base}, nil
	}
	return submission.New(folder, g.Control, content, base)
}

func (s submitFlags) baseVersion(client *control.Client, g *Globals, p proposal) (uint64, error) {
	if p.base != nil {
		return *p.base, nil
	}
	ctx, cancel := g.context()
	defer cancel()
	response, err := client.Read(ctx, 0)
	return response.GetVersion().GetNumber(), errors.Wrap(err, "read the version in force")
}

// submitError returns the error of a submission that got no response. Unless the
// outcome is known, it names the command that sends the same submission again.
func (s submitFlags) submitError(pending *submission.Pending, err error) error {
	var callErr *control.CallError
	if errors.As(err, &callErr) && !callErr.OutcomeUnknown() {
		if doneErr := pending.Done(); doneErr != nil {
			return doneErr
		}
		return errors.Wrap(err, "submit")
	}
	advice := "run the same command again, which resends the same submission"
	if pending.Path() == "" {
		advice = "run it again with --submission-id " + pending.ID
	}
	return errors.Wrapf(err, "the submission may have been accepted or not; %s, or check \"snipebeam history\": submit", advice)
}

func showRefused(g *Globals, p proposal, pending *submission.Pending, response *wire.SubmitResponse) error {
	winner := response.GetVersion()
	out := g.out()
	changes := ""
	if winner != nil {
		changes = difference.Unified(fmt.Sprintf("version %d, in force", winner.GetNumber()), response.GetWinnerText(), p.name, p.text)
		out.Line("version %d is in force, by %s at %s: %s", winner.GetNumber(), winner.GetAuthor(), formatTime(winner.GetAcceptedAt()), formatReason(winner.GetReason()))
		out.Text(changes)
	}
	err := out.Show(submissionView{
		Version: winner.GetNumber(), SubmissionID: pending.ID, Refusal: response.GetRefusal(),
		WinnerAuthor: winner.GetAuthor(), WinnerReason: winner.GetReason(), Difference: changes,
	}, nil)
	if err != nil {
		return err
	}
	return &RefusedError{text: fmt.Sprintf("refused: %s (put the changes of version %d into your file, then submit it with --base %d)",
		response.GetRefusal(), winner.GetNumber(), winner.GetNumber())}
}

func (s submitFlags) showAccepted(g *Globals, client *control.Client, pending *submission.Pending, number uint64) error {
	out := g.out()
	out.Line("accepted as version %d", number)
	if s.Wait {
		if err := s.waitInForce(client, g, number); err != nil {
			return err
		}
	}
	return out.Show(submissionView{Accepted: true, Version: number, SubmissionID: pending.ID}, nil)
}

// pollInterval is the pause between two reads of the hosts' state with --wait.
const pollInterval = 100 * time.Millisecond

// waitInForce waits until the version is in force on every entry host that is
// not silent, or until the time limit.
func (s submitFlags) waitInForce(client *control.Client, g *Globals, number uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.WaitLimit)
	defer cancel()
	started := time.Now()
	for {
		status, err := client.Status(ctx)
		if err == nil {
			inForce, behind, silent := rolloutProgress(status, number)
			if len(behind) == 0 {
				g.out().Line("in force on %d entry hosts after %s", inForce, time.Since(started).Round(time.Millisecond))
				return silentHostsError(silent)
			}
			err = errors.Errorf("not yet in force on %v", behind)
		}
		select {
		case <-ctx.Done():
			return &StaleError{text: fmt.Sprintf("version %d is accepted, and after %s: %v (see \"snipebeam status\")", number, s.WaitLimit, err)}
		case <-time.After(pollInterval):
		}
	}
}

// rolloutProgress counts the entry hosts that have reached a version, and returns
// the names of those that are behind it and of those that are silent.
func rolloutProgress(status *wire.StatusResponse, number uint64) (inForce int, behind, silent []string) {
	for _, host := range status.GetHosts() {
		switch {
		case host.GetRole() != roleEntry:
		case host.GetState() == stateSilent:
			silent = append(silent, host.GetName())
		case host.GetVersion() < number:
			behind = append(behind, host.GetName())
		default:
			inForce++
		}
	}
	return inForce, behind, silent
}

func silentHostsError(names []string) error {
	if len(names) == 0 {
		return nil
	}
	return &StaleError{text: fmt.Sprintf("%d hosts unheard: %v (each takes the newest version before it serves again)", len(names), names)}
}
