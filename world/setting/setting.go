// Package setting reads a program's TOML settings file and reports all its
// problems together, each with file, line and column.
//
// Usage:
//
//	cfg := DefaultSettings()
//	doc, findings := setting.Load(path, &cfg)
//	if cfg.Host.Name == "" {
//		findings.Add(finding.Error, doc.Place("host.name"), "host.name is empty", "name this host")
//	}
package setting

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
	"github.com/snipebeam/snipebeam/world/finding"
)

// maxNearestDistance is the number of edits up to which a key is suggested.
const maxNearestDistance = 4

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

// Load reads a file into a struct that already holds the defaults.
func Load(path string, into any) (*Document, finding.List) {
	data, err := os.ReadFile(path)
	if err != nil {
		doc := &Document{file: path}
		var findings finding.List
		findings.Add(finding.Error, doc.Place(""), "the settings file cannot be read: "+err.Error(), "name it with --config")
		return doc, findings
	}
	return Parse(path, data, into)
}

// Parse reads settings from memory into a struct that already holds the
// defaults.
func Parse(file string, data []byte, into any) (*Document, finding.List) {
	doc := &Document{file: file, places: keyPlaces(file, data)}
	var findings finding.List
	decoder := toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields()
	err := decoder.Decode(into)
	var missing *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &missing):
		for _, one := range missing.Errors {
			doc.unknown(&findings, one, knownKeys(reflect.TypeOf(into), ""))
		}
	case errors.As(err, &decode):
		line, column := decode.Position()
		findings.Add(finding.Error, finding.At(file, line, column), strings.TrimPrefix(decode.Error(), "toml: "), "")
	default:
		findings.Add(finding.Error, finding.At(file, 1, 1), err.Error(), "")
	}
	return doc, findings
}

func (d *Document) unknown(findings *finding.List, one toml.DecodeError, known []string) {
	line, column := one.Position()
	key := strings.Join(one.Key(), ".")
	findings.Add(finding.Error, finding.At(d.file, line, column), fmt.Sprintf("there is no key %s", key), nearest(key, known))
}

func nearest(key string, known []string) string {
	best, bestDistance := "", maxNearestDistance+1
	for _, candidate := range known {
		if distance := levenshtein.ComputeDistance(key, candidate); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	if best == "" {
		return ""
	}
	return "did you mean " + best + "?"
}

// knownKeys lists the dotted keys of a settings struct.
func knownKeys(t reflect.Type, prefix string) []string {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for n := range t.NumField() {
		field := t.Field(n)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if name == "" {
			continue
		}
		keys = append(keys, prefix+name)
		keys = append(keys, knownKeys(field.Type, prefix+name+".")...)
	}
	return keys
}
