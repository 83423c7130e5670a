package rule

import (
	"strings"

	"github.com/snipebeam/snipebeam/world/finding"
)

// Format returns a rules file in canonical form: tokens separated by one space,
// terms by a comma and a space, and one line feed at the end. Comment lines and
// blank lines are preserved. If a line is invalid, Format reports it as a finding
// and returns an empty text.
func Format(file, text string) (string, finding.List) {
	p := newParser(file)
	if !p.checkSize(text) {
		return "", p.findings
	}
	var b strings.Builder
	for n, line := range splitLines(text) {
		b.WriteString(p.formatted(n+1, line) + "\n")
	}
	if p.findings.HasErrors() {
		return "", p.findings
	}
	return b.String(), p.findings
}

// splitLines returns the lines of a text without trailing blank lines.
func splitLines(text string) []string {
	text = strings.TrimRight(text, " \t\r\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

func (p *parser) formatted(n int, line string) string {
	node := p.read(n, line)
	if node == nil {
		return strings.TrimSpace(line)
	}
	return formatLine(node)
}

// formatLine returns a line in canonical form.
func formatLine(node *lineNode) string {
	var b strings.Builder
	switch {
	case node.Service != nil:
		b.WriteString("service " + node.Service.Name)
	case node.Organisation != nil:
		b.WriteString("organisation " + node.Organisation.Name)
	default:
		formatRoute(&b, node.Route)
	}
	for n, term := range node.Terms {
		separator := ", "
		if n == 0 {
			separator = ": "
		}
		b.WriteString(separator + term.Name)
		for _, value := range term.Values {
			b.WriteString(" " + value.Text)
		}
	}
	b.WriteString(formatComment(node.Comment))
	return b.String()
}

func formatComment(comment string) string {
	body := commentBody(comment)
	if body == "" {
		return ""
	}
	who, why, found := strings.Cut(body, ":")
	if !found {
		return " # " + body
	}
	return strings.TrimRight(" # "+strings.TrimSpace(who)+": "+strings.TrimSpace(why), " ")
}

// commentBody returns a comment without the # and surrounding white space.
func commentBody(comment string) string {
	return strings.TrimSpace(strings.TrimPrefix(comment, "#"))
}

func formatRoute(b *strings.Builder, node *routeNode) {
	b.WriteString("route " + node.Service)
	if node.Weight != "" {
		b.WriteString("=" + node.Weight)
	}
	for _, other := range node.Others {
		b.WriteString("," + other.Service + "=" + other.Weight)
	}
	if node.At != nil {
		b.WriteString(" at " + node.At.Host + " " + node.At.Prefix)
	}
	for n, m := range node.Methods {
		joiner := ","
		if n == 0 {
			joiner = " "
		}
		b.WriteString(joiner + m.Name)
	}
	if node.Path != nil {
		b.WriteString(" " + node.Path.Text)
	}
	for n, c := range node.Conditions {
		joiner := " and "
		if n == 0 {
			joiner = " when "
		}
		b.WriteString(joiner + c.Header + "=" + c.Value)
	}
}
