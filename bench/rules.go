package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/world/rule"
)

const (
	rulesArea = "rules"
	// twoYearServices and rulesPerService give a file of the size that is expected
	// in two years.
	twoYearServices = 140
	rulesPerService = 20
	parseRounds     = 20
	matchRounds     = 200_000
	// changesPerDay and controlShareBound are the users' targets for changes and for
	// the share of a core that control may use on a host.
	changesPerDay     = 14_000
	controlShareBound = 0.015
)

func init() { register(rulesArea, measureRules) }

// measureRules measures the time to check, to read and to match rules.
func measureRules(emit func(figure.Figure)) error {
	text := twoYearRules()
	set, findings := rule.Parse("rules", text)
	if err := findings.Err(); err != nil {
		return errors.Wrap(err, "parse generated rules")
	}
	emit(figure.Plain(rulesArea, "fileBytes", float64(len(text)), "bytes"))
	emit(figure.AtMost(rulesArea, "checkMs", milliseconds(meanDuration(parseRounds, func() { rule.Parse("rules", text) })), "ms", 1000))
	emit(figure.Plain(rulesArea, "readWholeMs", milliseconds(meanDuration(parseRounds, func() { rule.Read("rules", text) })), "ms"))
	changed := strings.Replace(text, "deadline 310ms", "deadline 320ms", 1)
	checkChange := meanDuration(parseRounds, func() { rule.ParseIncremental(set, "rules", changed) })
	emit(figure.Plain(rulesArea, "checkChangeMs", milliseconds(checkChange), "ms"))
	checkShare := checkChange.Seconds() * changesPerDay / (24 * time.Hour).Seconds()
	emit(figure.AtMost(rulesArea, "checkChangesCoreShare", checkShare, "share of a core", controlShareBound))
	readChange := meanDuration(parseRounds, func() { rule.ReadIncremental(set, "rules", changed) })
	emit(figure.Plain(rulesArea, "readChangeMs", milliseconds(readChange), "ms"))
	share := readChange.Seconds() * changesPerDay / (24 * time.Hour).Seconds()
	emit(figure.AtMost(rulesArea, "readChangesCoreShare", share, "share of a core", controlShareBound))
	header := http.Header{"X-Channel": {"counter"}}
	last := meanDuration(matchRounds, func() { set.Match("service-7", "GET", "/part-19/7", header) })
	emit(figure.Plain(rulesArea, "matchLastOf20Ns", float64(last), "ns"))
	return nil
}

func meanDuration(rounds int, do func()) time.Duration {
	started := time.Now()
	for range rounds {
		do()
	}
	return time.Since(started) / time.Duration(rounds)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func twoYearRules() string {
	var b strings.Builder
	for s := range twoYearServices {
		fmt.Fprintf(&b, "service service-%d: owner \"Team %d\", spread 3, probe 0.1%%, backlog 30 for 2s # Person %d, team: lookups keep somebody waiting\n", s, s, s)
		for r := range rulesPerService {
			fmt.Fprintf(&b, "route service-%d GET,HEAD /part-%d/**: deadline %dms, retries 2, priority high # Person %d, team: somebody waits for the answer\n", s, r, 300+r, s)
		}
	}
	return b.String()
}
