package setting

import (
	"reflect"
	"strings"
	"unicode"

	"github.com/snipebeam/snipebeam/world/finding"
)

// Override is a value that takes precedence over the file's.
type Override struct {
	key    string
	value  string
	source string // name of the flag or environment variable
}

// NewOverride returns an override of a dotted key. Findings give the source as
// their place.
func NewOverride(key, value, source string) Override {
	return Override{key: key, value: value, source: source}
}

func (o Override) apply(findings *finding.List, doc *Document, keys []settingsKey) {
	place := finding.At(o.source, 0, 0)
	k, ok := findKey(keys, o.key)
	if !ok {
		findings.Add(finding.Error, place, "there is no key "+o.key, suggestion(o.key, keys))
		return
	}
	if err := k.assignText(o.value); err != nil {
		findings.Add(finding.Error, place, o.key+": "+err.Error(), "must be "+k.kind()+": "+k.comment)
		return
	}
	if doc.places == nil {
		doc.places = map[string]finding.Place{}
	}
	doc.places[o.key] = place
}

// EnvVar returns the name of the environment variable for a key. For example,
// host.stopLimitSeconds with the prefix SNIPEBEAM_ENTRY is
// SNIPEBEAM_ENTRY_HOST_STOP_LIMIT_SECONDS.
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

// FromEnvironment returns the overrides of a settings struct given by environment
// variables.
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

// FromFlags returns the overrides given by a struct of flags. Each field of type
// *string that is not nil overrides the key in its "key" tag.
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
