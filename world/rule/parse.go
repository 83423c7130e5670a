package rule

import (
	"errors"
	"fmt"
	"path"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/finding"
)

// Parse reads a rules file. All findings are reported together; the set holds
// the lines that could be read.
func Parse(file, text string) (*Set, finding.List) {
	p := &parser{file: file, set: &Set{routes: map[string][]*Rule{}, services: map[string]*ServiceLine{}}}
	if len(text) > MaxFileBytes {
		p.fail(1, 1, fmt.Sprintf("the file has %d bytes, the most is %d", len(text), MaxFileBytes), "split the deployment or remove old rules")
		return p.set, p.findings
	}
	for n, line := range strings.Split(text, "\n") {
		p.line(n+1, line)
	}
	p.findings.Merge(lint(p.set))
	return p.set, p.findings
}

type parser struct {
	file     string
	set      *Set
	findings finding.List
}

func (p *parser) fail(line, column int, text, hint string) {
	p.findings.Add(finding.Error, finding.At(p.file, line, column), text, hint)
}

func (p *parser) line(n int, text string) {
	if at := strings.IndexByte(text, 0); at >= 0 {
		p.fail(n, at+1, "the line holds a NUL byte", "a rules file is plain UTF-8 text")
		return
	}
	if !utf8.ValidString(text) {
		p.fail(n, 1, "the line is not UTF-8", "save the file as UTF-8")
		return
	}
	trimmed := strings.TrimSpace(text)
	if trimmed == "" || strings.HasPrefix(trimmed, "#") {
		return
	}
	node, err := lineParser.ParseString(p.file, text)
	if err != nil {
		p.syntax(n, err)
		return
	}
	reason := p.reason(n, text, node.Comment)
	if node.Service != nil {
		p.service(n, node, reason)
		return
	}
	p.route(n, node, reason)
}

func (p *parser) syntax(n int, err error) {
	var place participle.Error
	if !errors.As(err, &place) {
		p.fail(n, 1, err.Error(), "")
		return
	}
	hint := `a line is "service NAME: terms # who: why" or "route NAME [METHODS] [PATH] [when HEADER=VALUE]: terms # who: why"`
	p.fail(n, place.Position().Column, place.Message(), hint)
}

func (p *parser) reason(n int, text, comment string) Reason {
	body := strings.TrimSpace(strings.TrimPrefix(comment, "#"))
	column := utf8.RuneCountInString(text) + 1
	if comment != "" {
		column = utf8.RuneCountInString(text[:strings.LastIndex(text, comment)]) + 1
	}
	if body == "" {
		p.fail(n, column, "the line does not say who asked for it and why", "end it with # who: why")
		return Reason{}
	}
	who, why, found := strings.Cut(body, ":")
	who, why = strings.TrimSpace(who), strings.TrimSpace(why)
	if !found || who == "" || why == "" {
		p.fail(n, column, "the comment does not have the form who: why", "end the line with # who: why")
	}
	return Reason{who: who, why: why}
}

func (p *parser) service(n int, node *lineNode, reason Reason) {
	name := node.Service.Name
	if old := p.set.services[name]; old != nil {
		p.fail(n, node.Service.Pos.Column, fmt.Sprintf("service %s already has a line", name), "it is at "+old.place.String())
		return
	}
	line := &ServiceLine{place: finding.At(p.file, n, node.Service.Pos.Column), reason: reason}
	line.terms = contract.NewService(name, p.serviceTerms(n, node.Terms)...)
	line.text = formatLine(node, reason)
	p.set.services[name] = line
	p.know(name)
}

func (p *parser) route(n int, node *lineNode, reason Reason) {
	r := &Rule{
		place: finding.At(p.file, n, node.Route.Pos.Column), service: node.Route.Service,
		methods: p.methods(n, node.Route), path: node.Route.Path, reason: reason,
	}
	if _, err := path.Match(r.path, "/"); err != nil {
		p.fail(n, node.Route.Pos.Column, fmt.Sprintf("path pattern %s cannot be read", r.path), "a [ needs its ]")
	}
	for _, c := range node.Route.Conditions {
		r.conditions = append(r.conditions, Condition{header: c.Header, value: unquote(c.Value)})
	}
	r.contract = contract.New(p.routeTerms(n, node.Terms)...)
	r.text = formatLine(node, reason)
	p.set.routes[r.service] = append(p.set.routes[r.service], r)
	p.know(r.service)
}

// httpMethods are the methods that a rule may name (RFC 9110, RFC 5789).
var httpMethods = []string{"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"}

func (p *parser) methods(n int, node *routeNode) []string {
	for _, m := range node.Methods {
		if !slices.Contains(httpMethods, m) {
			p.fail(n, node.Pos.Column, fmt.Sprintf("%s is not a method", m), nearestHint(strings.ToUpper(m), httpMethods))
		}
	}
	return node.Methods
}

func (p *parser) know(service string) {
	if !p.set.Knows(service) {
		p.set.order = append(p.set.order, service)
	}
}

func unquote(text string) string { return strings.Trim(text, `"`) }
