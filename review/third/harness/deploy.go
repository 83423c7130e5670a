package harness

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

// role is one role of the deploy file.
type role struct {
	run      string
	template string
	env      map[string]string
}

var (
	section  = regexp.MustCompile(`^\[roles\.([a-z]+)\]`)
	setting  = regexp.MustCompile(`^([a-z]+) = "(.*)"`)
	variable = regexp.MustCompile(`([A-Z_]+) = "([^"]*)"`)
)

// readRoles reads the roles of a deploy file.
func readRoles(path string) (map[string]role, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	roles, name := map[string]role{}, ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if found := section.FindStringSubmatch(line); found != nil {
			name = found[1]
			continue
		}
		r := roles[name]
		if after, ok := strings.CutPrefix(line, "env = "); ok {
			r.env = map[string]string{}
			for _, found := range variable.FindAllStringSubmatch(after, -1) {
				r.env[found[1]] = found[2]
			}
		}
		if found := setting.FindStringSubmatch(line); found != nil {
			switch found[1] {
			case "run":
				r.run = found[2]
			case "template":
				r.template = found[2]
			}
		}
		roles[name] = r
	}
	for _, name := range []string{"entry", "control"} {
		if roles[name].run == "" || roles[name].template == "" {
			return nil, fmt.Errorf("the deploy file has no role %s with a program and a template", name)
		}
	}
	return roles, nil
}

// fields are the values that the platform fills in: texts, and lists of texts.
type fields map[string]any

var (
	listSection = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)\}\}`)
)

// fill fills in a template as the pages describe it, as far as the templates of this project
// use it: values, items of lists, and sections of lists.
func (f fields) fill(template string) (string, error) {
	var missing error
	text := listSection.ReplaceAllStringFunc(template, func(match string) string {
		found := listSection.FindStringSubmatch(match)
		items, ok := f[found[1]].([]string)
		if !ok {
			missing = fmt.Errorf("there is no list %s", found[1])
		}
		var b strings.Builder
		for n, item := range items {
			comma := ","
			if n == len(items)-1 {
				comma = ""
			}
			b.WriteString(strings.NewReplacer("{{.}}", item, "{{@}}", item, "{{,}}", comma).Replace(found[2]))
		}
		return b.String()
	})
	text = placeholder.ReplaceAllStringFunc(text, func(match string) string {
		name := placeholder.FindStringSubmatch(match)[1]
		if value, ok := f[name].(string); ok {
			return value
		}
		if list, ok := f[strings.TrimSuffix(name, ".0")].([]string); ok && len(list) > 0 {
			return list[0]
		}
		missing = fmt.Errorf("there is no value %s", name)
		return ""
	})
	return text, missing
}
