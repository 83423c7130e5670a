package rule

import (
	"regexp"
	"strings"

	"github.com/snipebeam/snipebeam/world/finding"
)

// Configurations may have thousands of lines that differ only in host, prefix and
// comment. Such a line is a copy of the last rule with the same services and terms,
// its template, with these three replaced; this takes a hundredth of the time of
// the grammar.

var (
	plainHost   = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_.-]*$`)
	plainPrefix = regexp.MustCompile(`^/([^\s:,=#"]*/)?$`)
	plainReason = regexp.MustCompile(`^[^\s:#"][^:#"]*: [^\s#"][^#"]*$`)
)

// lineParts are the parts of the text of a route line with "at" in canonical form.
type lineParts struct {
	head, host, prefix, terms, reason string
}

// splitRouteLine splits a route line with "at". It returns false unless the parts
// are so plain that they need no grammar.
func splitRouteLine(text string) (p lineParts, ok bool) {
	var rest string
	if p.head, rest, ok = strings.Cut(text, " at "); !ok || !strings.HasPrefix(p.head, "route ") {
		return p, false
	}
	if p.host, rest, ok = strings.Cut(rest, " "); !ok {
		return p, false
	}
	if p.prefix, rest, ok = strings.Cut(rest, ": "); !ok {
		return p, false
	}
	if p.terms, p.reason, ok = strings.Cut(rest, " # "); !ok {
		return p, false
	}
	plain := plainHost.MatchString(p.host) && plainPrefix.MatchString(p.prefix) && plainReason.MatchString(p.reason) &&
		strings.TrimSpace(p.reason) == p.reason && strings.IndexFunc(p.reason, isForbidden) < 0
	return p, plain
}

// parseFromTemplate adds a line's rule by copying its template, and reports whether
// there is one.
func (p *parser) parseFromTemplate(n int, text string) bool {
	parts, ok := splitRouteLine(text)
	if !ok {
		return false
	}
	template := p.templates[parts.head+"\x00"+parts.terms]
	if template == nil {
		return false
	}
	text = strings.Clone(text)
	who, why, _ := strings.Cut(parts.reason, ":")
	r := *template
	r.place = finding.At(p.file, n, template.place.Column())
	r.host, r.prefix = strings.Clone(strings.ToLower(parts.host)), strings.Clone(parts.prefix)
	r.reason = Reason{who: strings.Clone(strings.TrimSpace(who)), why: strings.Clone(strings.TrimSpace(why))}
	r.text = text
	p.add(&r)
	p.set.parsedLines[text] = lineContent{line: text, rule: &r}
	return true
}

// addTemplate records a rule as the template of similar lines. A rule with limits
// per caller is no template, since copies share its contract and these limits are
// counted for each line.
func (p *parser) addTemplate(text string, r *Rule) {
	if r == nil || r.text != text || r.contract.CallerInFlight() > 0 || r.contract.CallerRate() > 0 {
		return
	}
	if parts, ok := splitRouteLine(text); ok {
		p.templates[parts.head+"\x00"+parts.terms] = r
	}
}
