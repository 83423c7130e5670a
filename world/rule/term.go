package rule

import (
	"fmt"
	"slices"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/snipebeam/snipebeam/world/contract"
)

// maxNearestDistance is the largest edit distance at which a name is suggested.
const maxNearestDistance = 3

// Upper limits of the values of terms.
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
		return contract.WithOnce(v.optionalName(contract.DefaultOnceHeader))
	},
	"single":   func(*values) contract.Option { return contract.WithSingle() },
	"bulk":     func(*values) contract.Option { return contract.WithBulk() },
	"attempts": func(v *values) contract.Option { return contract.WithAttempts(v.count(maxRetries)) },
	"aim":      func(v *values) contract.Option { return contract.WithAim(v.duration(maxDeadline)) },
	"timeout":  func(v *values) contract.Option { return contract.WithTimeout(v.duration(maxDeadline)) },
	"zone": func(v *values) contract.Option {
		return contract.WithZone(contract.ZonePreference(v.choice("prefer", "any", "require")))
	},
	"priority": func(v *values) contract.Option {
		return contract.WithPriority(contract.Priority(v.choice("high", "normal", "low")))
	},
	"hedge":       func(*values) contract.Option { return contract.WithHedge() },
	"finish":      func(*values) contract.Option { return contract.WithFinish() },
	"maxBody":     func(v *values) contract.Option { return contract.WithMaxBody(v.bytes()) },
	"callerLimit": func(v *values) contract.Option { return contract.WithCallerInFlight(v.count(maxCount)) },
	"callerRate":  func(v *values) contract.Option { return contract.WithCallerRate(v.rate()) },
	"public":      func(*values) contract.Option { return contract.WithPublic() },
}

type serviceTerm func(v *values) contract.ServiceOption

var serviceTermByName = map[string]serviceTerm{
	"owner": func(v *values) contract.ServiceOption { return contract.WithOwner(v.name()) },
	"probe": func(v *values) contract.ServiceOption { return contract.WithProbeBudget(v.percent()) },
	"backlog": func(v *values) contract.ServiceOption {
		count := v.count(maxCount)
		v.keyword("for")
		return contract.WithBacklog(count, v.duration(maxDeadline))
	},
	"limit":  func(v *values) contract.ServiceOption { return contract.WithInFlight(v.count(maxCount)) },
	"rate":   func(v *values) contract.ServiceOption { return contract.WithRate(v.rate()) },
	"spread": func(v *values) contract.ServiceOption { return contract.WithSpread(v.count(maxSpread)) },
	"retryAllowance": func(v *values) contract.ServiceOption {
		count := v.count(maxCount)
		v.keyword("per")
		return contract.WithRetryAllowance(count, v.duration(maxDeadline))
	},
	"health": func(v *values) contract.ServiceOption { return contract.WithHealth(v.name()) },
	"policy": func(v *values) contract.ServiceOption { return contract.WithPolicy(v.name()) },
	"retryBudget": func(v *values) contract.ServiceOption {
		return contract.WithRetryBudget(v.percent())
	},
	"callerLimit": func(v *values) contract.ServiceOption {
		return contract.WithEachCallerInFlight(v.count(maxCount))
	},
	"callerRate": func(v *values) contract.ServiceOption { return contract.WithEachCallerRate(v.rate()) },
	"coldRate":   func(v *values) contract.ServiceOption { return contract.WithColdRate(v.rate()) },
}

// Terms returns the names of all terms, sorted.
func Terms() []string {
	all := slices.Concat(names(routeTermByName), names(serviceTermByName), names(organisationTermByName))
	slices.Sort(all)
	return slices.Compact(all)
}

func (p *parser) routeTerms(line int, nodes []*termNode) []contract.Option {
	return readTerms(p, line, nodes, routeTermByName)
}

func (p *parser) serviceTerms(line int, nodes []*termNode) []contract.ServiceOption {
	return readTerms(p, line, nodes, serviceTermByName)
}

// readTerms parses the terms of a line, each of which may occur once.
func readTerms[O any, F ~func(*values) O](p *parser, line int, nodes []*termNode, known map[string]F) []O {
	var opts []O
	seen := map[string]bool{}
	for _, node := range nodes {
		parse, ok := known[node.Name]
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
		opt := parse(v)
		v.expectEnd()
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

// nearestHint suggests the known name with the smallest edit distance to a
// misspelt one, or returns an empty string if none is close.
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
