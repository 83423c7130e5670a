package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/snipebeam/terminal"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

type explainCommand struct {
	Subject string   `arg:"" name:"method|decision-id" help:"Method of a request, or the id of a decision (header Snipebeam-Decision)."`
	URL     string   `arg:"" optional:"" help:"URL of the request, such as http://catalogue/lookup/1."`
	Header  []string `help:"Header of the request, as Name: value." short:"H" sep:"none"`
	Host    string   `help:"Entry host to ask; all of them by default."`
}

// explainView is an explanation in JSON.
type explainView struct {
	ServedBy   string          `json:"servedBy"`
	Version    uint64          `json:"version"`
	Rule       string          `json:"rule"`
	Who        string          `json:"who"`
	Why        string          `json:"why"`
	Decision   json.RawMessage `json:"decision,omitempty"`
	Candidates []candidateView `json:"candidates"`
}

type candidateView struct {
	Instance    string  `json:"instance"`
	Zone        string  `json:"zone"`
	State       string  `json:"state"`
	InFlight    uint32  `json:"inFlight"`
	Reported    uint32  `json:"reported"`
	ReportAgeMs float64 `json:"reportAgeMs"`
	LatencyMs   float64 `json:"latencyMs"`
}

// Run explains a request, or a decision that was taken.
func (c *explainCommand) Run(g *Globals) error {
	req, err := c.request()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	gathered, err := gather(ctx, g, c.Host, func(ctx context.Context, h wire.Entry) (*wire.ExplainResponse, error) {
		return explain(ctx, h, req)
	})
	if err != nil {
		return err
	}
	for _, answer := range gathered.Responses {
		if req.GetDecisionId() == "" || answer.Value.GetDecisionJson() != "" {
			return show(g, answer.Value)
		}
	}
	if err := gathered.problem(); err != nil {
		return err
	}
	return errors.Errorf("no entry host remembers the decision %s (hosts keep the latest ones only; older ones are in their decision logs)", c.Subject)
}

// explain asks one host; one that does not know a decision has answered.
func explain(ctx context.Context, h wire.Entry, req *wire.ExplainRequest) (*wire.ExplainResponse, error) {
	response, err := h.Explain(ctx, req)
	var t twirp.Error
	if errors.As(err, &t) && t.Code() == twirp.NotFound {
		return &wire.ExplainResponse{}, nil
	}
	return response, err
}

func (c *explainCommand) request() (*wire.ExplainRequest, error) {
	if c.URL == "" {
		return &wire.ExplainRequest{DecisionId: c.Subject}, nil
	}
	target, err := url.Parse(c.URL)
	if err != nil || target.Host == "" {
		return nil, errors.Errorf("%s is not a URL (write it as http://SERVICE/PATH)", c.URL)
	}
	req := &wire.ExplainRequest{Method: strings.ToUpper(c.Subject), Url: c.URL}
	for _, one := range c.Header {
		name, value, found := strings.Cut(one, ":")
		if !found {
			return nil, errors.Errorf("%s is not a header (write it as Name: value)", one)
		}
		req.Headers = append(req.Headers, &wire.Header{Name: strings.TrimSpace(name), Value: strings.TrimSpace(value)})
	}
	return req, nil
}

func show(g *Globals, r *wire.ExplainResponse) error {
	out := g.out()
	view := explainView{
		ServedBy: r.GetServedBy(), Version: r.GetVersion(), Rule: r.GetRule(), Who: r.GetWho(), Why: r.GetWhy(),
		Candidates: candidates(r),
	}
	if json.Valid([]byte(r.GetDecisionJson())) {
		view.Decision = json.RawMessage(r.GetDecisionJson())
	}
	out.Line("version %d, asked of %s", r.GetVersion(), r.GetServedBy())
	if r.GetRule() == "" {
		out.Line("no rule matches: the request is refused, and not run")
	} else {
		out.Line("rule: %s", r.GetRule())
	}
	if view.Decision != nil {
		out.Line("decision: %s", indented(view.Decision))
		return out.Show(view, nil)
	}
	return out.Show(view, candidateRows(out, view.Candidates))
}

func indented(document json.RawMessage) string {
	var b bytes.Buffer
	if err := json.Indent(&b, document, "", "  "); err != nil {
		return string(document)
	}
	return b.String()
}

func candidates(r *wire.ExplainResponse) []candidateView {
	views := []candidateView{}
	for _, c := range r.GetCandidates() {
		views = append(views, candidateView{
			Instance: c.GetInstance().GetId(), Zone: c.GetInstance().GetZone(), State: c.GetState(), InFlight: c.GetInFlight(),
			Reported: c.GetReported(), ReportAgeMs: float64(c.GetReportAgeNs()) / float64(time.Millisecond),
			LatencyMs: c.GetLatencyNs() / float64(time.Millisecond),
		})
	}
	return views
}

func candidateRows(out *terminal.Output, all []candidateView) *terminal.Rows {
	rows := terminal.NewTable("instance", "zone", "state", "in flight", "reported", "report age", "latency").Empty("no instance")
	for _, c := range all {
		rows.Row(c.Instance, c.Zone, out.State(c.State), c.InFlight, c.Reported, milliseconds(c.ReportAgeMs), milliseconds(c.LatencyMs))
	}
	return rows
}
