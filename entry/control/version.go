package control

import (
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/delta"
	"github.com/snipebeam/snipebeam/world/wire"
)

// errDigestMismatch means that a text differs from the one that was accepted.
var errDigestMismatch = errors.New("digest of the rules text does not match the version")

// applyVersion puts a newer version in force. A stale response may carry one,
// since a quorum accepted that version once, but it does not confirm that the
// version is the newest. polledAt is when the poll was sent.
func (w *Watch) applyVersion(response *wire.WatchResponse, known *rules.InForce, polledAt time.Time) error {
	version := response.GetVersion()
	if version.GetNumber() > w.table.Current().Number() {
		if err := w.advance(response, known); err != nil {
			return err
		}
	}
	if !response.GetStale() && version.GetNumber() > 0 {
		w.confirm(version.GetNumber(), polledAt)
	}
	return nil
}

// confirm records a confirmation by a quorum that started after polledAt. It
// may have started at once and its response may have been on the way ever since,
// so that no later time is certain. This host takes no callers before the first
// one, which must be recent, because newer versions may have been accepted since.
// After lateConfirmLimit any will do: no response is faster.
func (w *Watch) confirm(number uint64, polledAt time.Time) {
	if !w.table.Confirmed() && time.Since(polledAt) > maxFirstConfirmAge && !w.confirmsLate() {
		return
	}
	w.table.Confirm(number, polledAt)
}

// confirmsLate reports whether confirmations have come too late for lateConfirmLimit.
func (w *Watch) confirmsLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lateSince.IsZero() {
		w.lateSince = time.Now()
		w.logger.Info("confirmation of the rules came too late, polling again", "limit", maxFirstConfirmAge)
	}
	return time.Since(w.lateSince) >= lateConfirmLimit
}

func (w *Watch) advance(response *wire.WatchResponse, known *rules.InForce) error {
	text, err := versionText(response, known)
	if err != nil {
		return err
	}
	changed, err := w.table.Advance(response.GetVersion(), text)
	if err != nil {
		return err
	}
	if changed {
		w.logger.Info("version in force", "version", response.GetVersion().GetNumber(), "author", response.GetVersion().GetAuthor(), "from", response.GetServedBy())
	}
	return nil
}

func versionText(response *wire.WatchResponse, known *rules.InForce) (string, error) {
	text := response.GetText()
	if len(response.GetDelta()) > 0 {
		var err error
		base := known.Text()
		if response.GetWhole() {
			base = ""
		}
		if text, err = delta.Apply(base, response.GetDelta()); err != nil {
			return "", err
		}
	}
	if delta.Digest(text) != response.GetVersion().GetDigest() {
		return "", errDigestMismatch
	}
	return text, nil
}
