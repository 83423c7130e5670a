// Package delta encodes a text as a delta from an older one, by lines. A delta is
// a list of steps, each of which copies lines of the older text and adds new ones.
// The receiver verifies the result by its digest, and requests the whole text if
// the digest differs.
//
// Usage:
//
//	data, err := delta.Diff(older, newer)
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

// ErrMismatch means that a delta does not apply to the older text, or that its
// result is too large.
var ErrMismatch = errors.New("delta does not apply to this text")

// MaxTextBytes is the largest text that a delta may produce.
const MaxTextBytes = 16 << 20

// Digest returns the xxhash64 digest of a text in hex.
func Digest(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// Diff returns the encoded delta from an older text to a newer one.
func Diff(older, newer string) ([]byte, error) {
	d := &differ{older: splitLines(older), positions: map[string]int{}}
	for n := len(d.older) - 1; n >= 0; n-- {
		d.positions[d.older[n]] = n
	}
	for _, line := range splitLines(newer) {
		d.add(line)
	}
	d.flush()
	data, err := proto.Marshal(&wire.TextDelta{BaseDigest: Digest(older), Steps: d.steps})
	if err != nil {
		return nil, errors.Wrap(err, "encode delta")
	}
	return compress(data)
}

// compress compresses an encoded delta, since lines of a rules file are similar.
func compress(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress delta")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress delta")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress delta")
	}
	return packed.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	all, err := io.ReadAll(io.LimitReader(r, MaxTextBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress delta")
	}
	if len(all) > MaxTextBytes {
		return nil, ErrMismatch
	}
	return all, nil
}

// splitLines splits a text after each line feed; the lines joined are the text.
func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.SplitAfter(text, "\n")
}

// differ builds the steps of a delta. A line is matched first after the last copied
// line, else at its first position in the older text.
type differ struct {
	older     []string
	positions map[string]int
	steps     []*wire.TextStep
	from      int
	copied    int
	added     strings.Builder
}

func (d *differ) add(line string) {
	next := d.from + d.copied
	if d.added.Len() == 0 && next < len(d.older) && d.older[next] == line {
		d.copied++
		return
	}
	at, found := d.find(line, next)
	if !found {
		d.added.WriteString(line)
		return
	}
	d.flush()
	d.from, d.copied = at, 1
}

// find returns the position of a line in the older text. It prefers one shortly
// after next, so that repeated lines do not produce many steps.
func (d *differ) find(line string, next int) (int, bool) {
	const window = 8 // lines
	for at := next; at < min(next+window, len(d.older)); at++ {
		if d.older[at] == line {
			return at, true
		}
	}
	at, found := d.positions[line]
	return at, found
}

func (d *differ) flush() {
	if d.copied > 0 || d.added.Len() > 0 {
		d.steps = append(d.steps, &wire.TextStep{From: uint32(d.from), Lines: uint32(d.copied), Added: d.added.String()})
	}
	d.copied = 0
	d.added.Reset()
}

// Apply returns the newer text, given the older one and the encoded delta. It
// returns ErrMismatch if the delta was made for another text.
func Apply(older string, data []byte) (string, error) {
	data, err := decompress(data)
	if err != nil {
		return "", err
	}
	d := &wire.TextDelta{}
	if err := proto.Unmarshal(data, d); err != nil {
		return "", errors.Wrap(err, "decode delta")
	}
	if d.GetBaseDigest() != Digest(older) {
		return "", ErrMismatch
	}
	all := splitLines(older)
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
