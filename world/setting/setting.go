// Package setting reads a program's TOML settings file and reports all its
// problems together, each with file, line and column. Environment variables
// and flags take precedence over the file.
//
// Usage:
//
//	cfg := DefaultSettings()
//	doc, findings := setting.Load(path, &cfg, overrides...)
//	if cfg.Host.Name == "" {
//		findings.Add(finding.Error, doc.Place("host.name"), "host.name is empty", "name this host")
//	}
package setting

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
	"github.com/snipebeam/snipebeam/world/finding"
)

const (
	// maxSuggestionDistance is the largest edit distance at which a key is
	// suggested for an unknown one.
	maxSuggestionDistance = 4
	// maxSyntaxFindings bounds the number of syntax errors reported.
	maxSyntaxFindings = 20
	// maxFileBytes bounds the size of a settings file.
	maxFileBytes = 1 << 20
)

// Document maps the keys of a settings file to their places. The place of a key
// set by an environment variable or flag is the name of that source.
type Document struct {
	file   string
	places map[string]finding.Place
}

// Place returns the place of a dotted key, or the start of the file if the key is
// not set.
func (d *Document) Place(key string) finding.Place {
	if p, ok := d.places[key]; ok {
		return p
	}
	return finding.At(d.file, 1, 1)
}

// Load reads a settings file into a struct that already holds the defaults. An
// empty path means that there is no file.
func Load(path string, into any, overrides ...Override) (*Document, finding.List) {
	if path == "" {
		return Parse("settings", nil, into, overrides...)
	}
	data, err := os.ReadFile(path)
	if err == nil && len(data) > maxFileBytes {
		err = fmt.Errorf("size of %d bytes exceeds the limit of %d", len(data), maxFileBytes)
	}
	if err != nil {
		doc, findings := Parse(path, nil, into, overrides...)
		findings.Add(finding.Error, doc.Place(""), "the settings file cannot be read: "+err.Error(), "name it with --config")
		return doc, findings
	}
	return Parse(path, data, into, overrides...)
}

// Parse reads settings from memory into a struct that already holds the
// defaults.
func Parse(file string, data []byte, into any, overrides ...Override) (*Document, finding.List) {
	var findings finding.List
	tree, data := decodeTree(file, data, &findings)
	doc := &Document{file: file, places: keyPositions(file, data)}
	keys := keysOf(into)
	for _, leaf := range leaves(tree, "", keys) {
		doc.set(&findings, keys, leaf)
	}
	for _, o := range overrides {
		o.apply(&findings, doc, keys)
	}
	return doc, findings
}

// decodeTree decodes TOML. Lines with syntax errors are reported and blanked, so
// that the rest is still checked. It returns the tree and the text that it was
// decoded from.
func decodeTree(file string, data []byte, findings *finding.List) (map[string]any, []byte) {
	for range maxSyntaxFindings {
		tree := map[string]any{}
		err := toml.Unmarshal(data, &tree)
		if err == nil {
			return tree, data
		}
		var decodeErr *toml.DecodeError
		if !errors.As(err, &decodeErr) {
			findings.Add(finding.Error, finding.At(file, 1, 1), err.Error(), "")
			break
		}
		line, column := decodeErr.Position()
		findings.Add(finding.Error, finding.At(file, line, column), strings.TrimPrefix(decodeErr.Error(), "toml: "), "")
		blanked := blank(data, line)
		if bytes.Equal(blanked, data) {
			break
		}
		data = blanked
	}
	return map[string]any{}, nil
}

// blank returns a copy of the text with one line emptied.
func blank(data []byte, line int) []byte {
	lines := bytes.Split(data, []byte("\n"))
	if line < 1 || line > len(lines) {
		return data
	}
	out := append([][]byte(nil), lines...)
	out[line-1] = nil
	return bytes.Join(out, []byte("\n"))
}

// set stores one value from the file.
func (d *Document) set(findings *finding.List, keys []settingsKey, l leaf) {
	k, ok := findKey(keys, l.name)
	if !ok {
		findings.Add(finding.Error, d.Place(l.name), "there is no key "+l.name, suggestion(l.name, keys))
		return
	}
	if err := k.assign(l.value); err != nil {
		findings.Add(finding.Error, d.Place(l.name), fmt.Sprintf("%s: %s", l.name, err), "must be "+k.kind()+": "+k.comment)
	}
}

// suggestion returns a hint with the key closest to the name, or the empty string
// if none is close enough.
func suggestion(name string, keys []settingsKey) string {
	best, bestDistance := "", maxSuggestionDistance+1
	for _, candidate := range keys {
		if distance := levenshtein.ComputeDistance(name, candidate.name); distance < bestDistance {
			best, bestDistance = candidate.name, distance
		}
	}
	if best == "" {
		return ""
	}
	return "did you mean " + best + "?"
}
