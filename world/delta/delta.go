// Package delta sends a text as its difference to an older one. A difference
// is a list of steps, each of which copies lines of the older text and adds
// new ones. Whoever applies it checks the result by its digest, and asks for
// the whole text if it is another one.
//
// Usage:
//
//	data := delta.Make(older, newer)
//	text, err := delta.Apply(older, data)
//	if err != nil || delta.Digest(text) != version.GetDigest() { ... }
package delta

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// ErrMismatch means that a difference does not belong to the older text.
var ErrMismatch = errors.New("the difference is not to this text")

// MaxTextBytes bounds the text that a difference may build.
const MaxTextBytes = 16 << 20

// Digest returns the digest of a text: xxhash64 in hex.
func Digest(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// Diff returns the encoded difference from an older text to a newer one.
func Diff(older, newer string) ([]byte, error) {
	m := &maker{older: lines(older), places: map[string]int{}}
	for n := len(m.older) - 1; n >= 0; n-- {
		m.places[m.older[n]] = n
	}
	for _, line := range lines(newer) {
		m.add(line)
	}
	m.flush()
	data, err := proto.Marshal(&wire.TextDelta{BaseDigest: Digest(older), Steps: m.steps})
	if err != nil {
		return nil, errors.Wrap(err, "encode difference")
	}
	return pack(data)
}

// pack compresses a difference: lines of rules are much alike.
func pack(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress difference")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress difference")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress difference")
	}
	return packed.Bytes(), nil
}

func unpack(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	all, err := io.ReadAll(io.LimitReader(r, MaxTextBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress difference")
	}
	if len(all) > MaxTextBytes {
		return nil, ErrMismatch
	}
	return all, nil
}

// lines splits a text after each line end; joining gives it back.
func lines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.SplitAfter(text, "\n")
}

// maker collects steps. Lines are matched in order from the place after the
// last copied line, or else from the first place of the same line.
type maker struct {
	older  []string
	places map[string]int
	steps  []*wire.TextStep
	from   int
	copied int
	added  strings.Builder
}

func (m *maker) add(line string) {
	next := m.from + m.copied
	if m.added.Len() == 0 && next < len(m.older) && m.older[next] == line {
		m.copied++
		return
	}
	at, known := m.find(line, next)
	if !known {
		m.added.WriteString(line)
		return
	}
	m.flush()
	m.from, m.copied = at, 1
}

// find prefers a near place further on, so that repeated lines do not make
// many steps.
func (m *maker) find(line string, next int) (int, bool) {
	const near = 8
	for at := next; at < min(next+near, len(m.older)); at++ {
		if m.older[at] == line {
			return at, true
		}
	}
	at, known := m.places[line]
	return at, known
}

func (m *maker) flush() {
	if m.copied > 0 || m.added.Len() > 0 {
		m.steps = append(m.steps, &wire.TextStep{From: uint32(m.from), Lines: uint32(m.copied), Added: m.added.String()})
	}
	m.copied = 0
	m.added.Reset()
}

// Apply returns the newer text.
func Apply(older string, data []byte) (string, error) {
	data, err := unpack(data)
	if err != nil {
		return "", err
	}
	d := &wire.TextDelta{}
	if err := proto.Unmarshal(data, d); err != nil {
		return "", errors.Wrap(err, "read difference")
	}
	if d.GetBaseDigest() != Digest(older) {
		return "", ErrMismatch
	}
	all := lines(older)
	var text strings.Builder
	for _, step := range d.GetSteps() {
		from, end := uint64(step.GetFrom()), uint64(step.GetFrom())+uint64(step.GetLines())
		if end > uint64(len(all)) {
			return "", ErrMismatch
		}
		for _, line := range all[from:end] {
			text.WriteString(line)
		}
		text.WriteString(step.GetAdded())
		if text.Len() > MaxTextBytes {
			return "", ErrMismatch
		}
	}
	return text.String(), nil
}
