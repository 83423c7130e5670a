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

// Explain says which rule and which instances a request would get.
func (s *Service) Explain(_ context.Context, req *wire.ExplainRequest) (*wire.ExplainResponse, error) {
	if req.GetDecisionId() != "" {
		return s.explainDecision(req.GetDecisionId())
	}
	target, err := url.Parse(req.GetUrl())
	if err != nil {
		return nil, twirp.InvalidArgumentError("url", err.Error())
	}
	header := http.Header{}
	for _, one := range req.GetHeaders() {
		header.Add(one.GetName(), one.GetValue())
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

// explainDecision returns what was known when one of this host's latest
// decisions was taken.
func (s *Service) explainDecision(id string) (*wire.ExplainResponse, error) {
	d := s.cfg.Decisions.Find(id)
	if d == nil {
		return nil, twirp.NotFoundError("this host does not remember the decision " + id + "; its log file does")
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
