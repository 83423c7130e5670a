package setting

import (
	"reflect"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// settingsKey is one key of a settings struct and the field that stores its
// value.
type settingsKey struct {
	name    string // dotted, such as host.name
	comment string
	field   reflect.Value
}

// keysOf lists the keys of the settings struct that into points to.
func keysOf(into any) []settingsKey { return appendKeys(nil, reflect.ValueOf(into).Elem(), "") }

func appendKeys(all []settingsKey, section reflect.Value, prefix string) []settingsKey {
	for n := range section.NumField() {
		field := section.Type().Field(n)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if name == "" {
			continue
		}
		if field.Type.Kind() == reflect.Struct {
			all = appendKeys(all, section.Field(n), prefix+name+".")
			continue
		}
		all = append(all, settingsKey{name: prefix + name, comment: field.Tag.Get("comment"), field: section.Field(n)})
	}
	return all
}

func findKey(keys []settingsKey, name string) (settingsKey, bool) {
	for _, k := range keys {
		if k.name == name {
			return k, true
		}
	}
	return settingsKey{}, false
}

// assign stores a value decoded from TOML. The value is encoded again and decoded
// into the field's type, so that TOML's conversion rules apply.
func (k settingsKey) assign(value any) error {
	target := reflect.New(reflect.StructOf([]reflect.StructField{{Name: "V", Type: k.field.Type(), Tag: `toml:"v"`}}))
	text, err := toml.Marshal(map[string]any{"v": value})
	if err != nil {
		return errors.Errorf("%v is not a valid value", value)
	}
	if err := toml.Unmarshal(text, target.Interface()); err != nil {
		return errors.Errorf("%v is not %s", value, k.kind())
	}
	k.field.Set(target.Elem().Field(0))
	return nil
}

// assignText stores a value in the form used in environment variables and flags:
// strings without quotes, lists separated by commas or spaces, other values as
// in TOML.
func (k settingsKey) assignText(text string) error {
	switch k.field.Kind() {
	case reflect.String:
		return k.assign(text)
	case reflect.Slice:
		return k.assign(strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' }))
	default:
		tree := map[string]any{}
		if err := toml.Unmarshal([]byte("v = "+text), &tree); err != nil {
			return errors.Errorf("%s is not %s", text, k.kind())
		}
		return k.assign(tree["v"])
	}
}

func (k settingsKey) kind() string {
	switch k.field.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

type leaf struct {
	name  string
	value any
}

// leaves lists the values of a tree sorted by name. A table where a value is
// expected, or a value where a table is expected, is listed as one leaf, which
// Document.set then reports.
func leaves(tree map[string]any, prefix string, keys []settingsKey) []leaf {
	var all []leaf
	for name, value := range tree {
		full := prefix + name
		_, isKey := findKey(keys, full)
		if table, ok := value.(map[string]any); ok && !isKey && isSection(keys, full) {
			all = append(all, leaves(table, full+".", keys)...)
			continue
		}
		all = append(all, leaf{name: full, value: value})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

func isSection(keys []settingsKey, name string) bool {
	for _, k := range keys {
		if strings.HasPrefix(k.name, name+".") {
			return true
		}
	}
	return false
}
