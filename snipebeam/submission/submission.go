// Package submission gives each submission its identity before it is first
// sent, and keeps it in a small file until its result is known: the same file
// submitted again after a lost answer is the same submission.
//
// Usage:
//
//	pending, err := submission.Open(dir, hosts, text)
//	response, err := client.Submit(ctx, pending.Request())
//	if err == nil { pending.Done() }
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

// Pending is a submission whose result is not known yet.
type Pending struct {
	path string
	// Retry reports that it was sent before and its answer was lost.
	Retry bool `json:"-"`

	ID   string    `json:"submissionId"`
	Base uint64    `json:"baseVersion"`
	At   time.Time `json:"at"`
}

// DefaultFolder returns where submissions are kept by default.
func DefaultFolder() string {
	cache, err := os.UserCacheDir()
	if err != nil {
		cache = os.TempDir()
	}
	return filepath.Join(cache, "snipebeam", "submissions")
}

// Find returns the pending submission of a text to a group of control hosts,
// or nil.
func Find(folder string, hosts []string, text string) (*Pending, error) {
	path := pathOf(folder, hosts, text)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read pending submission")
	}
	p := &Pending{path: path, Retry: true}
	if err := json.Unmarshal(data, p); err != nil || p.ID == "" {
		return nil, errors.Errorf("the pending submission in %s cannot be read; remove it if the change is not in \"snipebeam history\"", path)
	}
	return p, nil
}

// New fixes the identity of a submission on top of a base version, and writes
// it down.
func New(folder string, hosts []string, text string, base uint64) (*Pending, error) {
	p := &Pending{path: pathOf(folder, hosts, text), ID: uuid.NewString(), Base: base, At: time.Now()}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "make folder for pending submissions")
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

func pathOf(folder string, hosts []string, text string) string {
	sum := xxhash.Sum64String(strings.Join(hosts, ",") + "\x00" + text)
	return filepath.Join(folder, fmt.Sprintf("%016x.json", sum))
}

// Path returns the file that keeps the submission.
func (p *Pending) Path() string { return p.path }

// Done forgets the submission, whose result is known.
func (p *Pending) Done() error {
	if p.path == "" {
		return nil
	}
	if err := os.Remove(p.path); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "forget pending submission")
	}
	return nil
}
