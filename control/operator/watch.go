package operator

import (
	"context"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Bounds of a long poll.
const (
	maxWatch  = 10 * time.Second
	watchStep = 50 * time.Millisecond
)

// Watch records the host's report and waits for a version newer than the
// known one.
func (s *Rules) Watch(ctx context.Context, req *wire.WatchRequest) (*wire.WatchResponse, error) {
	s.fleet.Report(req.GetReport(), time.Now())
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxWatch)
	deadline := time.Now().Add(wait)
	for {
		version, text := s.machine.InForce()
		if version.GetNumber() > req.GetKnownVersion() || time.Now().After(deadline) {
			return s.watched(ctx, req, version, text), nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(watchStep):
		}
	}
}

func (s *Rules) watched(ctx context.Context, req *wire.WatchRequest, version *wire.Version, text string) *wire.WatchResponse {
	if version.GetNumber() <= req.GetKnownVersion() {
		text = ""
	}
	return &wire.WatchResponse{
		Version: version, Text: text, Stale: s.confirm(ctx) != nil,
		AsOf: time.Now().UnixNano(), Seeds: s.fleet.Seeds(req.GetReport().GetName(), time.Now()), ServedBy: s.name,
	}
}
