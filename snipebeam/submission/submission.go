// Package submission assigns each submission its id before it is first sent and
// stores it in a small file until the result is known. A rules file that is
// submitted again after a lost response is sent under the same id, so that the
// control hosts treat it as the same submission.
//
// Usage:
//
//	pending, err := submission.Find(folder, hosts, text)
//	if err == nil && pending == nil {
//		pending, err = submission.New(folder, hosts, text, base)
//	}
//	response, err := client.Submit(ctx, &wire.SubmitRequest{SubmissionId: pending.ID, ...})
//	if err == nil { err = pending.Done() }
package submission

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Pending is a submission whose result is not yet known.
type Pending struct {
	path string
	// Retry reports that the submission was sent before and its response was lost.
	Retry bool `json:"-"`

	ID   string    `json:"submissionId"`
	Base uint64    `json:"baseVersion"`
	At   time.Time `json:"at"`
}

// DefaultFolder returns the default folder of pending submissions, in the user's
// cache folder.
func DefaultFolder() string {
	cache, err := os.UserCacheDir()
	if err != nil {
		cache = os.TempDir()
	}
	return filepath.Join(cache, "snipebeam", "submissions")
}

// Find returns the pending submission of a text to these control hosts, or nil
// if there is none.
func Find(folder string, hosts []string, text string) (*Pending, error) {
	path := pendingPath(folder, hosts, text)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read pending submission")
	}
	p := &Pending{path: path, Retry: true}
	if err := json.Unmarshal(data, p); err != nil || p.ID == "" {
		return nil, errors.Errorf("the pending submission in %s cannot be read; remove the file if the change is not in \"snipebeam history\"", path)
	}
	return p, nil
}

// New assigns a new id to a submission based on a version, and writes it to the
// folder.
func New(folder string, hosts []string, text string, base uint64) (*Pending, error) {
	p := &Pending{path: pendingPath(folder, hosts, text), ID: uuid.NewString(), Base: base, At: time.Now()}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "create folder for pending submissions")
	}
	data, err := json.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode pending submission")
	}
	return p, writeSynced(p.path, data)
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "write pending submission")
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "write pending submission")
}

func pendingPath(folder string, hosts []string, text string) string {
	sum := xxhash.Sum64String(strings.Join(hosts, ",") + "\x00" + text)
	return filepath.Join(folder, fmt.Sprintf("%016x.json", sum))
}

// Path returns the file that stores the submission; empty if it is not stored.
func (p *Pending) Path() string { return p.path }

// Done removes the stored submission once its result is known.
func (p *Pending) Done() error {
	if p.path == "" {
		return nil
	}
	if err := os.Remove(p.path); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "remove pending submission")
	}
	return nil
}
