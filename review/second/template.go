package main

import (
	"fmt"
	"regexp"
	"strings"
)

// render fills in a settings template of the deploy file. Values are texts, lists of texts, or
// tables of texts, by their names in the settings.
func render(text string, values map[string]any) string {
	section := regexp.MustCompile(`(?s)\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	text = section.ReplaceAllStringFunc(text, func(match string) string {
		parts := section.FindStringSubmatch(match)
		var out strings.Builder
		each := func(n, last int, key, value string) {
			entry := strings.ReplaceAll(parts[2], "{{.}}", value)
			entry = strings.ReplaceAll(entry, "{{@}}", key)
			comma := ","
			if n == last {
				comma = ""
			}
			out.WriteString(strings.ReplaceAll(entry, "{{,}}", comma))
		}
		switch value := values[parts[1]].(type) {
		case []string:
			for n, entry := range value {
				each(n, len(value)-1, fmt.Sprint(n), entry)
			}
		case map[string]string:
			n := 0
			for key, entry := range value {
				each(n, len(value)-1, key, entry)
				n++
			}
		}
		return out.String()
	})
	placeholder := regexp.MustCompile(`\{\{([A-Za-z.0-9]+)\}\}`)
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		name := placeholder.FindStringSubmatch(match)[1]
		if value, ok := values[name]; ok {
			return fmt.Sprint(value)
		}
		return ""
	})
}
