package caller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var errHostStopping = errors.New("this host stops")

// stop is the planned stop of this host as its requests see it.
type stop struct {
	ctx      context.Context // done when requests without a response get their outcome
	end      context.CancelFunc
	deadline atomic.Pointer[time.Time] // at which ctx will be done, nil for none
	refusing atomic.Bool
}

func newStop() *stop {
	s := &stop{}
	s.ctx, s.end = context.WithCancel(context.Background())
	return s
}

// EndRequestsAt sets the time at which each request that has no response yet gets
// its outcome: "not run" if nothing was sent to an instance, else unknown. Until
// then it is the latest deadline of every request.
func (h *Handler) EndRequestsAt(at time.Time) {
	h.stop.deadline.Store(&at)
	time.AfterFunc(time.Until(at), h.stop.end)
}

// RefuseRequests makes the handler refuse all further requests as not run.
func (h *Handler) RefuseRequests() { h.stop.refusing.Store(true) }

// ended reports whether requests without a response get their outcome now.
func (s *stop) ended() bool { return s.ctx.Err() != nil }

// earliest returns the earlier of a deadline, zero for none, and the time at which
// requests end.
func (s *stop) earliest(deadline time.Time) time.Time {
	at := s.deadline.Load()
	if at == nil || !deadline.IsZero() && deadline.Before(*at) {
		return deadline
	}
	return *at
}
