package report_test

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/snipebeam/report"
)

var begin = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

const requestCount = 2000

// logFile returns the log of an entry host over 100 s that contains a rule
// change, a backlog alarm and a line that is not JSON.
func logFile(t *testing.T) *bytes.Buffer {
	random := rand.New(rand.NewPCG(1, 2))
	var out bytes.Buffer
	write := func(fields map[string]any) { must.NoError(t, json.NewEncoder(&out).Encode(fields)) }
	for n := range requestCount {
		at := begin.Add(time.Duration(n) * 50 * time.Millisecond)
		latency := 3e6 + random.ExpFloat64()*4e6
		if n > requestCount/2 && n < requestCount*6/10 {
			latency *= 8
		}
		write(map[string]any{"@timestamp": at, "@message": "route", "decision": map[string]any{
			"at": at, "service": "catalogue", "outcome": "answer", "latencyNs": int64(latency),
		}})
	}
	write(map[string]any{"@timestamp": begin.Add(30 * time.Second), "@message": "version in force", "version": 4, "author": "<Marie>"})
	write(map[string]any{
		"@timestamp": begin.Add(52 * time.Second), "@message": "backlog grows", "service": "catalogue",
		"owner": "Comptoir", "cause": "aging", "present": 57,
	})
	out.WriteString("not JSON\n")
	return &out
}

func TestPageContainsChartsAndEventsAndLoadsNothing(t *testing.T) {
	history := report.NewHistory(time.Time{}, time.Time{}, "")
	must.NoError(t, history.Read(logFile(t)))
	var page bytes.Buffer
	must.NoError(t, history.WritePage(&page))
	text := page.String()
	must.Eq(t, 4, strings.Count(text, "<svg"))
	must.StrContains(t, text, "2000 requests, 2000 answered")
	must.StrContains(t, text, "1 lines could not be read")
	must.StrContains(t, text, "version 4 in force, by &lt;Marie&gt;")
	must.StrContains(t, text, "owner Comptoir")
	must.StrNotContains(t, text, "<script")
	must.StrNotContains(t, text, "src=")
}

func TestWritePageFailsWithoutRequestsInSpan(t *testing.T) {
	history := report.NewHistory(begin.Add(time.Hour), time.Time{}, "")
	must.NoError(t, history.Read(logFile(t)))
	must.ErrorContains(t, history.WritePage(&bytes.Buffer{}), "no request of this time")
}
