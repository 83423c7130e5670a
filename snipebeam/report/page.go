package report

import (
	"html/template"
	"io"
	"time"

	"github.com/pkg/errors"
)

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en">
<head><meta charset="utf-8"><title>snipebeam report</title>
<style>
body { font-family: sans-serif; max-width: 62em; margin: 2em auto; color: #222; }
svg { max-width: 100%; height: auto; }
td, th { padding: 0.2em 1em 0.2em 0; text-align: left; }
</style></head>
<body>
<h1>snipebeam report</h1>
<p>{{.From}} to {{.To}} (UTC){{if .Service}}, service {{.Service}}{{end}}. {{.Requests}} requests, {{.Answered}} answered,
read from {{.Lines}} log lines{{if .Skipped}}; {{.Skipped}} lines could not be read{{end}}.
Dashed lines are rule changes.</p>
{{range .Charts}}{{.}}
{{end}}
<h2>Events</h2>
{{if .Events}}<table><tr><th>time</th><th>what</th></tr>
{{range .Events}}<tr><td>{{.At.UTC.Format "15:04:05.000"}}</td><td>{{.Text}}</td></tr>
{{end}}</table>{{else}}<p>No rule change and no backlog alarm in this time.</p>{{end}}
</body></html>
`))

type pageData struct {
	From, To string
	Service  string
	Requests int
	Answered int
	Lines    int
	Skipped  int
	Charts   []template.HTML
	Events   []Event
}

// WritePage writes the HTML page. It fails if no request was read.
func (h *History) WritePage(w io.Writer) error {
	if h.Empty() {
		return errors.New("the logs hold no request of this time; check the span and the service")
	}
	from, to := h.span()
	data := pageData{
		From: from.UTC().Format(time.RFC3339), To: to.UTC().Format(time.RFC3339), Service: h.service,
		Requests: len(h.requests), Answered: h.answered(), Lines: h.lines, Skipped: h.skipped, Events: h.Events(),
	}
	charts, err := h.charts(from, to)
	if err != nil {
		return err
	}
	data.Charts = charts
	return errors.Wrap(page.Execute(w, data), "write report")
}

func (h *History) charts(from, to time.Time) ([]template.HTML, error) {
	var changes []Event
	for _, change := range h.ruleChanges {
		changes = append(changes, change)
	}
	var all []template.HTML
	for _, spec := range []struct {
		title, unit string
		series      []series
	}{
		{"Time to an answer", "ms", h.latencySeries()},
		{"Requests", "a second", h.rateSeries()},
		{"Requests present", "requests", h.backlogSeries()},
		{"Probes", "a second", h.probeSeries()},
	} {
		drawn, err := chart(spec.title, spec.unit, spec.series, from, to, changes)
		if err != nil {
			return nil, err
		}
		all = append(all, drawn)
	}
	return all, nil
}

func (h *History) answered() int {
	n := 0
	for _, r := range h.requests {
		if r.answered {
			n++
		}
	}
	return n
}
