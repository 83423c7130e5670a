package rule

import (
	"regexp"
	"strings"

	"github.com/snipebeam/snipebeam/world/finding"
)

// Configurations hold thousands of lines that differ in host, prefix and comment
// alone. Such a line is read from the last one that had the same services and
// terms, which takes a hundredth of the time of the grammar.

var (
	plainHost   = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_.-]*$`)
	plainPrefix = regexp.MustCompile(`^/([^\s:,=#"]*/)?$`)
	plainReason = regexp.MustCompile(`^[^\s:#"][^:#"]*: [^\s#"][^#"]*$`)
)

// parts are the texts of a route line in its canonical form.
type parts struct {
	head, host, prefix, terms, reason string
}

// cut returns the parts of a route line for a host.
func cut(text string) (p parts, ok bool) {
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
		strings.TrimSpace(p.reason) == p.reason && strings.IndexFunc(p.reason, forbidden) < 0
	return p, plain
}

// alike reads a line like one that was read before, and reports whether there was
// one.
func (p *parser) alike(n int, text string) bool {
	parts, ok := cut(text)
	if !ok {
		return false
	}
	model := p.models[parts.head+"\x00"+parts.terms]
	if model == nil {
		return false
	}
	text = strings.Clone(text)
	who, why, _ := strings.Cut(parts.reason, ":")
	r := *model
	r.place = finding.At(p.file, n, model.place.Column())
	r.host, r.prefix = strings.Clone(strings.ToLower(parts.host)), strings.Clone(parts.prefix)
	r.reason = Reason{who: strings.Clone(strings.TrimSpace(who)), why: strings.Clone(strings.TrimSpace(why))}
	r.text = text
	p.add(&r)
	p.set.lines[text] = lineContent{rule: &r}
	return true
}

// model keeps a rule for lines like it, unless the requests of each line are
// counted apart.
func (p *parser) model(text string, r *Rule) {
	if r == nil || r.text != text || r.contract.CallerInFlight() > 0 || r.contract.CallerRate() > 0 {
		return
	}
	if parts, ok := cut(text); ok {
		p.models[parts.head+"\x00"+parts.terms] = r
	}
}
