package setting

import (
	"reflect"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// settingsKey is one key of a settings struct with the field that holds its value.
type settingsKey struct {
	name    string // dotted
	comment string
	field   reflect.Value
}

// keysOf lists the keys of a pointer to a settings struct.
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

func findKey(known []settingsKey, name string) (settingsKey, bool) {
	for _, k := range known {
		if k.name == name {
			return k, true
		}
	}
	return settingsKey{}, false
}

// assign stores a value that was read from TOML.
func (k settingsKey) assign(value any) error {
	box := reflect.New(reflect.StructOf([]reflect.StructField{{Name: "V", Type: k.field.Type(), Tag: `toml:"v"`}}))
	text, err := toml.Marshal(map[string]any{"v": value})
	if err != nil {
		return errors.Errorf("%v cannot be a value here", value)
	}
	if err := toml.Unmarshal(text, box.Interface()); err != nil {
		return errors.Errorf("%v is not %s", value, k.kind())
	}
	k.field.Set(box.Elem().Field(0))
	return nil
}

// assignText stores a value as it stands in an environment variable or flag.
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
		return "a text"
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

// leaves lists the values of a tree in order of their names. A table where a
// key belongs, or the reverse, is a leaf of its own.
func leaves(tree map[string]any, prefix string, known []settingsKey) []leaf {
	var all []leaf
	for name, value := range tree {
		full := prefix + name
		_, isKey := findKey(known, full)
		if table, ok := value.(map[string]any); ok && !isKey && isSection(known, full) {
			all = append(all, leaves(table, full+".", known)...)
			continue
		}
		all = append(all, leaf{name: full, value: value})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

func isSection(known []settingsKey, name string) bool {
	for _, k := range known {
		if strings.HasPrefix(k.name, name+".") {
			return true
		}
	}
	return false
}
