package control

import (
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/delta"
	"github.com/snipebeam/snipebeam/world/wire"
)

// errDigest means that a text is not the one that was accepted.
var errDigest = errors.New("the text's digest is not the version's")

// take puts a newer version in force. A stale answer may bring one, since it
// was accepted by a quorum once, but confirms nothing.
func (w *Watch) take(response *wire.WatchResponse, known *rules.InForce) error {
	version := response.GetVersion()
	if version.GetNumber() > w.table.Current().Number() {
		if err := w.advance(response, known); err != nil {
			return err
		}
	}
	if !response.GetStale() && version.GetNumber() > 0 {
		w.table.Confirm(version.GetNumber(), time.Now().Add(-time.Duration(response.GetConfirmAgeNs())))
	}
	return nil
}

func (w *Watch) advance(response *wire.WatchResponse, known *rules.InForce) error {
	text, err := textOf(response, known)
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

func textOf(response *wire.WatchResponse, known *rules.InForce) (string, error) {
	text := response.GetText()
	if len(response.GetDelta()) > 0 {
		var err error
		older := known.Text()
		if response.GetWhole() {
			older = ""
		}
		if text, err = delta.Apply(older, response.GetDelta()); err != nil {
			return "", err
		}
	}
	if delta.Digest(text) != response.GetVersion().GetDigest() {
		return "", errDigest
	}
	return text, nil
}
