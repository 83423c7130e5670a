package setting

import (
	"reflect"
	"strings"
	"unicode"

	"github.com/snipebeam/snipebeam/world/finding"
)

// Override is a value that goes before the file's.
type Override struct {
	key    string
	value  string
	source string // flag or environment variable
}

// NewOverride returns an override of a dotted key; the source is named in
// findings.
func NewOverride(key, value, source string) Override {
	return Override{key: key, value: value, source: source}
}

func (o Override) apply(findings *finding.List, doc *Document, known []settingsKey) {
	place := finding.At(o.source, 0, 0)
	k, ok := findKey(known, o.key)
	if !ok {
		findings.Add(finding.Error, place, "there is no key "+o.key, suggestion(o.key, known))
		return
	}
	if err := k.assignText(o.value); err != nil {
		findings.Add(finding.Error, place, o.key+": "+err.Error(), "it is "+k.kind()+": "+k.comment)
		return
	}
	if doc.places == nil {
		doc.places = map[string]finding.Place{}
	}
	doc.places[o.key] = place
}

// EnvVar returns the environment variable of a key: host.stopLimitSeconds
// below the prefix SNIPEBEAM_ENTRY is SNIPEBEAM_ENTRY_HOST_STOP_LIMIT_SECONDS.
func EnvVar(prefix, key string) string {
	var b strings.Builder
	b.WriteString(prefix + "_")
	for _, c := range key {
		switch {
		case c == '.':
			b.WriteByte('_')
		case unicode.IsUpper(c):
			b.WriteString("_" + string(c))
		default:
			b.WriteRune(unicode.ToUpper(c))
		}
	}
	return b.String()
}

// FromEnvironment returns the overrides that environment variables make to a
// settings struct.
func FromEnvironment(prefix string, into any, lookup func(string) (string, bool)) []Override {
	var all []Override
	for _, k := range keysOf(into) {
		name := EnvVar(prefix, k.name)
		if value, ok := lookup(name); ok {
			all = append(all, NewOverride(k.name, value, name))
		}
	}
	return all
}

// FromFlags returns the overrides of a struct of flags: each field of kind
// *string that is set and has a tag "key" goes before that key.
func FromFlags(flags any) []Override {
	var all []Override
	value := reflect.ValueOf(flags)
	for n := range value.NumField() {
		field := value.Type().Field(n)
		given, ok := value.Field(n).Interface().(*string)
		if !ok || given == nil {
			continue
		}
		all = append(all, NewOverride(field.Tag.Get("key"), *given, "--"+field.Tag.Get("name")))
	}
	return all
}
