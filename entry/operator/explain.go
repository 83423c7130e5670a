package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

// Explain returns the rule that a request matches and the candidate instances, or
// a recorded decision.
func (s *Service) Explain(_ context.Context, req *wire.ExplainRequest) (*wire.ExplainResponse, error) {
	if req.GetDecisionId() != "" {
		return s.explainDecision(req.GetDecisionId())
	}
	target, err := url.Parse(req.GetUrl())
	if err != nil {
		return nil, twirp.InvalidArgumentError("url", err.Error())
	}
	header := http.Header{}
	for _, h := range req.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	inForce := s.cfg.Table.Current()
	response := &wire.ExplainResponse{Version: inForce.Number(), ServedBy: s.cfg.Host}
	matched := inForce.Set().Match(target.Hostname(), req.GetMethod(), target.EscapedPath(), header)
	if matched != nil {
		response.Rule, response.Who, response.Why = matched.String(), matched.Reason().Who(), matched.Reason().Why()
	}
	if view := s.cfg.Views.Load(target.Hostname()); view != nil {
		response.Candidates = viewLines(view)
	}
	return response, nil
}

// explainDecision returns one of this host's recent decisions with the data it was
// based on. The rule is included only while the version of the decision is in
// force.
func (s *Service) explainDecision(id string) (*wire.ExplainResponse, error) {
	d := s.cfg.Decisions.Find(id)
	if d == nil {
		return nil, twirp.NotFoundError("decision " + id + " is not retained by this host; see its log file")
	}
	text, err := json.Marshal(d)
	if err != nil {
		return nil, twirp.InternalErrorWith(errors.Wrap(err, "encode decision"))
	}
	response := &wire.ExplainResponse{DecisionJson: string(text), Version: d.Version, ServedBy: s.cfg.Host}
	inForce := s.cfg.Table.Current()
	if inForce.Number() != d.Version {
		return response, nil
	}
	for _, r := range inForce.Set().Routes(d.Service) {
		if r.Place().String() == d.Rule {
			response.Rule, response.Who, response.Why = r.String(), r.Reason().Who(), r.Reason().Why()
		}
	}
	return response, nil
}
