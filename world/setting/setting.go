// Package setting reads a program's TOML settings file and reports all its
// problems together, each with file, line and column. Environment variables
// and flags go before the file.
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
	// maxSuggestionDistance is the number of edits up to which a key is suggested.
	maxSuggestionDistance = 4
	// maxSyntaxFindings bounds how many unreadable lines are looked for.
	maxSyntaxFindings = 20
	// maxFileBytes bounds a settings file.
	maxFileBytes = 1 << 20
)

// Document remembers where each key of a settings file stands.
type Document struct {
	file   string
	places map[string]finding.Place
}

// Place returns where a dotted key stands, or the start of the file.
func (d *Document) Place(key string) finding.Place {
	if p, ok := d.places[key]; ok {
		return p
	}
	return finding.At(d.file, 1, 1)
}

// Load reads a file into a struct that already holds the defaults. An empty
// path means that there is no file.
func Load(path string, into any, overrides ...Override) (*Document, finding.List) {
	if path == "" {
		return Parse("settings", nil, into, overrides...)
	}
	data, err := os.ReadFile(path)
	if err == nil && len(data) > maxFileBytes {
		err = fmt.Errorf("it has %d bytes, the most is %d", len(data), maxFileBytes)
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
	doc := &Document{file: file, places: keyPlaces(file, data)}
	known := keysOf(into)
	for _, leaf := range leaves(tree, "", known) {
		doc.set(&findings, known, leaf)
	}
	for _, o := range overrides {
		o.apply(&findings, doc, known)
	}
	return doc, findings
}

// decodeTree reads as much of a text as is TOML. Lines that are not are reported
// and blanked.
func decodeTree(file string, data []byte, findings *finding.List) (map[string]any, []byte) {
	for range maxSyntaxFindings {
		tree := map[string]any{}
		err := toml.Unmarshal(data, &tree)
		if err == nil {
			return tree, data
		}
		var decode *toml.DecodeError
		if !errors.As(err, &decode) {
			findings.Add(finding.Error, finding.At(file, 1, 1), err.Error(), "")
			break
		}
		line, column := decode.Position()
		findings.Add(finding.Error, finding.At(file, line, column), strings.TrimPrefix(decode.Error(), "toml: "), "")
		blanked := blank(data, line)
		if bytes.Equal(blanked, data) {
			break
		}
		data = blanked
	}
	return map[string]any{}, nil
}

// blank returns the text with one line made empty.
func blank(data []byte, line int) []byte {
	all := bytes.Split(data, []byte("\n"))
	if line < 1 || line > len(all) {
		return data
	}
	out := append([][]byte(nil), all...)
	out[line-1] = nil
	return bytes.Join(out, []byte("\n"))
}

// set stores one value of the file.
func (d *Document) set(findings *finding.List, known []settingsKey, l leaf) {
	k, ok := findKey(known, l.name)
	if !ok {
		findings.Add(finding.Error, d.Place(l.name), "there is no key "+l.name, suggestion(l.name, known))
		return
	}
	if err := k.assign(l.value); err != nil {
		findings.Add(finding.Error, d.Place(l.name), fmt.Sprintf("%s: %s", l.name, err), "it is "+k.kind()+": "+k.comment)
	}
}

func suggestion(name string, known []settingsKey) string {
	best, bestDistance := "", maxSuggestionDistance+1
	for _, candidate := range known {
		if distance := levenshtein.ComputeDistance(name, candidate.name); distance < bestDistance {
			best, bestDistance = candidate.name, distance
		}
	}
	if best == "" {
		return ""
	}
	return "did you mean " + best + "?"
}
