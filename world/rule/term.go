package rule

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/snipebeam/snipebeam/world/contract"
)

// maxNearestDistance is the number of edits up to which a name is suggested.
const maxNearestDistance = 3

// Largest values that a term may have.
const (
	maxRetries  = 10
	maxCount    = 1_000_000
	maxDeadline = 24 * time.Hour
	maxSpread   = 1000
)

type routeTerm func(v *values) contract.Option

var routeTermByName = map[string]routeTerm{
	"deadline": func(v *values) contract.Option { return contract.WithDeadline(v.duration(maxDeadline)) },
	"retries":  func(v *values) contract.Option { return contract.WithRetries(v.count(maxRetries)) },
	"once": func(v *values) contract.Option {
		return contract.WithOnce(v.optionalWord(contract.DefaultOnceHeader))
	},
	"zone": func(v *values) contract.Option {
		return contract.WithZone(contract.ZonePreference(v.choice("prefer", "any", "require")))
	},
	"priority": func(v *values) contract.Option {
		return contract.WithPriority(contract.Priority(v.choice("high", "normal", "low")))
	},
	"hedge":        func(*values) contract.Option { return contract.WithHedge() },
	"finish":       func(*values) contract.Option { return contract.WithFinish() },
	"max-body":     func(v *values) contract.Option { return contract.WithMaxBody(v.bytes()) },
	"caller-limit": func(v *values) contract.Option { return contract.WithCallerInFlight(v.count(maxCount)) },
	"caller-rate":  func(v *values) contract.Option { return contract.WithCallerRate(v.rate()) },
}

type serviceTerm func(v *values) contract.ServiceOption

var serviceTermByName = map[string]serviceTerm{
	"owner": func(v *values) contract.ServiceOption { return contract.WithOwner(v.word()) },
	"probe": func(v *values) contract.ServiceOption { return contract.WithProbeBudget(v.percent()) },
	"backlog": func(v *values) contract.ServiceOption {
		count := v.count(maxCount)
		v.keyword("for")
		return contract.WithBacklog(count, v.duration(maxDeadline))
	},
	"limit":  func(v *values) contract.ServiceOption { return contract.WithInFlight(v.count(maxCount)) },
	"rate":   func(v *values) contract.ServiceOption { return contract.WithRate(v.rate()) },
	"spread": func(v *values) contract.ServiceOption { return contract.WithSpread(v.count(maxSpread)) },
	"policy": func(v *values) contract.ServiceOption { return contract.WithPolicy(v.word()) },
	"retry-budget": func(v *values) contract.ServiceOption {
		return contract.WithRetryBudget(v.percent())
	},
	"caller-limit": func(v *values) contract.ServiceOption {
		return contract.WithEachCallerInFlight(v.count(maxCount))
	},
	"caller-rate": func(v *values) contract.ServiceOption { return contract.WithEachCallerRate(v.rate()) },
}

func (p *parser) routeTerms(line int, nodes []*termNode) []contract.Option {
	return readTerms(p, line, nodes, routeTermByName)
}

func (p *parser) serviceTerms(line int, nodes []*termNode) []contract.ServiceOption {
	return readTerms(p, line, nodes, serviceTermByName)
}

// readTerms reads the terms of a line, of which each may stand once.
func readTerms[O any, F ~func(*values) O](p *parser, line int, nodes []*termNode, known map[string]F) []O {
	var opts []O
	seen := map[string]bool{}
	for _, node := range nodes {
		read, ok := known[node.Name]
		if !ok {
			p.fail(line, node.Pos.Column, fmt.Sprintf("there is no term %s here", node.Name), nearestHint(node.Name, names(known)))
			continue
		}
		if seen[node.Name] {
			p.fail(line, node.Pos.Column, fmt.Sprintf("the term %s stands twice", node.Name), "keep one")
			continue
		}
		seen[node.Name] = true
		v := &values{parser: p, line: line, term: node}
		opt := read(v)
		v.end()
		opts = append(opts, opt)
	}
	return opts
}

func names[F any](known map[string]F) []string {
	all := make([]string, 0, len(known))
	for name := range known {
		all = append(all, name)
	}
	return all
}

// nearestHint suggests the known name that is closest to a misspelt one.
func nearestHint(name string, known []string) string {
	best, bestDistance := "", maxNearestDistance+1
	for _, candidate := range known {
		d := levenshtein.ComputeDistance(name, candidate)
		if d < bestDistance || d == bestDistance && candidate < best {
			best, bestDistance = candidate, d
		}
	}
	if best == "" {
		return ""
	}
	return "did you mean " + best + "?"
}

// values reads the values of one term from left to right.
type values struct {
	parser *parser
	line   int
	term   *termNode
	next   int
}

func (v *values) fail(text, hint string) {
	column := v.term.Pos.Column
	if v.next > 0 && v.next <= len(v.term.Values) {
		column = v.term.Values[v.next-1].Pos.Column
	}
	v.parser.fail(v.line, column, fmt.Sprintf("%s: %s", v.term.Name, text), hint)
}

func (v *values) take(what string) (string, bool) {
	if v.next >= len(v.term.Values) {
		v.next = len(v.term.Values)
		v.fail("needs "+what, "")
		return "", false
	}
	v.next++
	return unquote(v.term.Values[v.next-1].Text), true
}

func (v *values) end() {
	if v.next < len(v.term.Values) {
		v.next++
		v.fail("has a value too many: "+v.term.Values[v.next-1].Text, "separate terms with a comma")
	}
}

func (v *values) word() string {
	text, _ := v.take("a name")
	return text
}

func (v *values) optionalWord(otherwise string) string {
	if v.next >= len(v.term.Values) {
		return otherwise
	}
	return v.word()
}

func (v *values) keyword(want string) {
	if text, ok := v.take(want); ok && text != want {
		v.fail(fmt.Sprintf("has %s where %s belongs", text, want), "")
	}
}

func (v *values) choice(words ...string) int {
	text, ok := v.take("one of " + strings.Join(words, ", "))
	if !ok {
		return 0
	}
	for n, w := range words {
		if text == w {
			return n
		}
	}
	v.fail(text+" is none of "+strings.Join(words, ", "), nearestHint(text, words))
	return 0
}

func (v *values) duration(most time.Duration) time.Duration {
	text, ok := v.take("a time such as 300ms")
	if !ok {
		return most
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		v.fail(text+" has no unit", "write "+text+"ms or "+text+"s")
		return most
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		v.fail(text+" is not a time", "write it as 300ms, 2s or 10m")
		return most
	}
	if d > most {
		v.fail(text+" is over the most, "+most.String(), "")
		return most
	}
	return d
}

func (v *values) count(most int) int {
	text, ok := v.take("a number")
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > most {
		v.fail(fmt.Sprintf("%s is not a whole number from 0 to %d", text, most), "")
		return 0
	}
	return n
}

func (v *values) percent() float64 {
	text, ok := v.take("a share such as 1%")
	if !ok {
		return 0
	}
	number, found := strings.CutSuffix(text, "%")
	if !found {
		v.fail(text+" has no unit", "write "+text+"%")
		return 0
	}
	share, err := strconv.ParseFloat(number, 64)
	if err != nil || share < 0 || share > 100 || math.IsNaN(share) {
		v.fail(text+" is not a share from 0% to 100%", "")
		return 0
	}
	return share / 100
}

func (v *values) rate() float64 {
	text, ok := v.take("a rate such as 50/s")
	if !ok {
		return 0
	}
	number, found := strings.CutSuffix(text, "/s")
	if !found {
		v.fail(text+" has no unit", "write "+text+"/s")
		return 0
	}
	r, err := strconv.ParseFloat(number, 64)
	if err != nil || r <= 0 || math.IsInf(r, 0) {
		v.fail(text+" is not a rate", "write it as 50/s")
		return 0
	}
	return r
}

var byteUnits = []struct {
	suffix string
	factor int64
}{{"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1}}

func (v *values) bytes() int64 {
	text, ok := v.take("a size such as 20MB")
	if !ok {
		return 0
	}
	for _, unit := range byteUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 32)
		if err != nil || n <= 0 {
			v.fail(text+" is not a size", "write it as 20MB")
			return 0
		}
		return n * unit.factor
	}
	v.fail(text+" has no unit", "write "+text+"KB, "+text+"MB or "+text+"GB")
	return 0
}
