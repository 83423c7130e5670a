package rule

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/finding"
)

// Parse parses and lints a rules file. All findings are reported together; the
// set contains the lines that could be parsed.
func Parse(file, text string) (*Set, finding.List) { return ParseIncremental(nil, file, text) }

// ParseIncremental is Parse for a new version of a file: lines that are also in
// the previous set are reused and not parsed again.
func ParseIncremental(previous *Set, file, text string) (*Set, finding.List) {
	set, findings := ReadIncremental(previous, file, text)
	findings.Merge(lint(set))
	return set, findings
}

// Read parses a rules file without linting it. Files are linted when they are
// submitted; a version that was accepted must remain usable with a later release
// whose linter is stricter.
func Read(file, text string) (*Set, finding.List) { return ReadIncremental(nil, file, text) }

// ReadIncremental is Read for a new version of a file: lines that are also in the
// previous set are reused and not parsed again.
func ReadIncremental(previous *Set, file, text string) (*Set, finding.List) {
	p := newParser(file)
	if !p.checkSize(text) {
		return p.set, p.findings
	}
	if previous != nil {
		p.previous = previous.parsedLines
	}
	n := 0
	for line := range strings.SplitSeq(text, "\n") {
		n++
		if !p.reuseLine(n, line) && !p.parseFromTemplate(n, line) {
			p.parseNew(n, line)
		}
	}
	for _, rules := range p.set.byHost {
		slices.SortStableFunc(rules, func(a, b *Rule) int { return len(b.prefix) - len(a.prefix) })
	}
	return p.set, p.findings
}

func newParser(file string) *parser {
	return &parser{file: file, templates: map[string]*Rule{}, set: &Set{routes: map[string][]*Rule{}, services: map[string]*ServiceLine{}, byHost: map[string][]*Rule{}, hostServices: map[string]bool{}, organisations: map[string]*OrganisationLine{}, byKey: map[string]*OrganisationLine{}, parsedLines: map[string]lineContent{}}}
}

func (p *parser) checkSize(text string) bool {
	if len(text) <= MaxFileBytes {
		return true
	}
	p.fail(1, 1, fmt.Sprintf("the file has %d bytes, the most is %d", len(text), MaxFileBytes), "split the deployment or remove old rules")
	return false
}

type parser struct {
	file      string
	set       *Set
	findings  finding.List
	previous  map[string]lineContent // parsed lines of the previous version, by their text
	templates map[string]*Rule       // by services and terms, see parseFromTemplate
}

func (p *parser) fail(line, column int, text, hint string) {
	p.findings.Add(finding.Error, finding.At(p.file, line, column), text, hint)
}

// parseNew parses a line and records it for reuse if it has no findings.
func (p *parser) parseNew(n int, text string) {
	before := p.findings.Len()
	// Cloned so that the parsed line does not retain the text of the whole file.
	text = strings.Clone(text)
	content := p.parseLine(n, text)
	if p.findings.Len() == before && content != (lineContent{}) {
		content.line = text
		p.set.parsedLines[text] = content
		p.addTemplate(text, content.rule)
	}
}

// reuseLine adds a line from the previous version at its new position, and reports
// whether the previous version has that line.
func (p *parser) reuseLine(n int, text string) bool {
	content, ok := p.previous[text]
	switch {
	case !ok:
		return false
	case content.service != nil:
		line := *content.service
		line.place = finding.At(p.file, n, line.place.Column())
		p.addService(line.terms.Name(), &line)
		p.set.parsedLines[content.line] = lineContent{line: content.line, service: &line}
	case content.organisation != nil:
		line := *content.organisation
		line.place = finding.At(p.file, n, line.place.Column())
		p.addOrganisation(&line)
		p.set.parsedLines[content.line] = lineContent{line: content.line, organisation: &line}
	default:
		r := *content.rule
		r.place = finding.At(p.file, n, r.place.Column())
		p.add(&r)
		p.set.parsedLines[content.line] = lineContent{line: content.line, rule: &r}
	}
	return true
}

func (p *parser) parseLine(n int, text string) lineContent {
	node := p.read(n, text)
	if node == nil {
		return lineContent{}
	}
	reason := p.reason(n, text, node.Comment)
	if node.Service != nil {
		return lineContent{service: p.service(n, node, reason)}
	}
	if node.Organisation != nil {
		return lineContent{organisation: p.organisation(n, node, reason)}
	}
	return lineContent{rule: p.route(n, node, reason)}
}

// read returns the syntax tree of a line, or nil if the line is blank, a comment
// or invalid.
func (p *parser) read(n int, text string) *lineNode {
	if !utf8.ValidString(text) {
		p.fail(n, 1, "the line is not UTF-8", "save the file as UTF-8")
		return nil
	}
	if at := strings.IndexFunc(text, isForbidden); at >= 0 {
		p.fail(n, utf8.RuneCountInString(text[:at])+1, fmt.Sprintf("the line contains the character %U", text[at]), "a rules file is plain UTF-8 text")
		return nil
	}
	trimmed := strings.TrimSpace(text)
	if trimmed == "" || strings.HasPrefix(trimmed, "#") {
		return nil
	}
	node, err := lineParser.ParseString(p.file, text)
	if err != nil {
		p.syntaxError(n, text, err)
		return nil
	}
	return node
}

// isForbidden reports whether c is a control character other than white space.
func isForbidden(c rune) bool { return c < ' ' && c != '\t' && c != '\r' || c == 0x7f }

const lineHint = `a line is "service NAME: terms # who: why", "organisation NAME: terms # who: why" or "route NAME [METHODS] [PATH] [when HEADER=VALUE]: terms # who: why"`

func (p *parser) syntaxError(n int, text string, err error) {
	var place participle.Error
	if !errors.As(err, &place) {
		p.fail(n, 1, err.Error(), lineHint)
		return
	}
	first, _, _ := strings.Cut(strings.TrimSpace(text), " ")
	kinds := []string{"service", "organisation", "route"}
	if hint := nearestHint(first, kinds); hint != "" && !slices.Contains(kinds, first) {
		p.fail(n, place.Position().Column, "a line cannot begin with "+first, hint)
		return
	}
	p.fail(n, place.Position().Column, place.Message(), lineHint)
}

func (p *parser) reason(n int, text, comment string) Reason {
	body := commentBody(comment)
	column := utf8.RuneCountInString(strings.TrimRight(text, " \t\r")) + 1
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

// maxServiceName is the maximum length of a DNS label (RFC 1035).
const maxServiceName = 63

var serviceName = regexp.MustCompile(`^[a-z]([a-z0-9-]*[a-z0-9])?$`)

// checkServiceName checks a service's name: callers use it as a DNS label.
func (p *parser) checkServiceName(n int, name string, at lexer.Position) {
	if len(name) > maxServiceName || !serviceName.MatchString(name) {
		p.fail(n, at.Column, fmt.Sprintf("%s cannot name a service", name), "use lower-case letters, digits and hyphens, at most 63")
	}
}

func (p *parser) service(n int, node *lineNode, reason Reason) *ServiceLine {
	name := node.Service.Name
	p.checkServiceName(n, name, node.Service.Pos)
	line := &ServiceLine{place: finding.At(p.file, n, node.Service.Pos.Column), reason: reason}
	line.terms = contract.NewService(name, p.serviceTerms(n, node.Terms)...)
	line.text = formatLine(node)
	p.addService(name, line)
	return line
}

func (p *parser) addService(name string, line *ServiceLine) {
	if old := p.set.services[name]; old != nil {
		p.findings.Add(finding.Error, line.place, fmt.Sprintf("service %s already has a line", name), "it is at "+old.place.String())
		return
	}
	p.addServiceName(name)
	p.set.services[name] = line
}

func (p *parser) route(n int, node *lineNode, reason Reason) *Rule {
	name := node.Route.Service
	p.checkServiceName(n, name, node.Route.Pos)
	r := &Rule{
		place: finding.At(p.file, n, node.Route.Pos.Column), service: name,
		methods: p.methods(n, node.Route), reason: reason, text: formatLine(node),
	}
	p.hostRoute(n, node.Route, r)
	if path := node.Route.Path; path != nil {
		r.path = path.Text
		r.pattern = p.pattern(n, path)
	}
	for _, c := range node.Route.Conditions {
		r.conditions = append(r.conditions, newCondition(c.Header, unquote(c.Value)))
	}
	r.contract = contract.New(p.routeTerms(n, node.Terms)...)
	p.add(r)
	return r
}

func (p *parser) pattern(n int, node *pathNode) pattern {
	parsed, err := parsePattern(node.Text)
	if err != nil {
		p.fail(n, node.Pos.Column, fmt.Sprintf("path pattern %s: %s", node.Text, err), "")
	}
	return parsed
}

func (p *parser) add(r *Rule) {
	if r.host != "" {
		p.addHostRoute(r)
		return
	}
	p.addServiceName(r.service)
	if len(p.set.routes[r.service]) == MaxRoutes {
		p.findings.Add(finding.Error, r.place, fmt.Sprintf("service %s has over %d route lines", r.service, MaxRoutes), "join rules with patterns")
		return
	}
	p.set.routes[r.service] = append(p.set.routes[r.service], r)
}

func (p *parser) methods(n int, node *routeNode) []string {
	var all []string
	for _, m := range node.Methods {
		if !slices.Contains(httpMethods, m.Name) {
			p.fail(n, m.Pos.Column, fmt.Sprintf("%s is not a method", m.Name), nearestHint(strings.ToUpper(m.Name), httpMethods))
		}
		if slices.Contains(all, m.Name) {
			p.fail(n, m.Pos.Column, fmt.Sprintf("the method %s stands twice", m.Name), "keep one")
		}
		all = append(all, m.Name)
	}
	return all
}

func (p *parser) addServiceName(service string) {
	if !p.set.HasService(service) {
		p.set.order = append(p.set.order, service)
	}
}

func unquote(text string) string {
	if inner, quoted := strings.CutPrefix(text, `"`); quoted {
		return strings.TrimSuffix(inner, `"`)
	}
	return text
}
