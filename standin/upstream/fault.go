package upstream

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"
)

// Faults are switched over HTTP with PUT /standin/faults; what is left out is
// switched off. GET returns those in force.
type Faults struct {
	Slowdown     float64 `json:"slowdown"`     // factor on the time of a request, 0 and 1 for none
	Draining     bool    `json:"draining"`     // announce that no new work is wanted
	ColdSeconds  float64 `json:"coldSeconds"`  // announce a cold start, slow at first, for so long
	Shed         bool    `json:"shed"`         // refuse before starting
	FailFast     bool    `json:"failFast"`     // answer 500 at once
	Crash        bool    `json:"crash"`        // end the process as soon as this is answered
	CrashOn      string  `json:"crashOn"`      // end the process when a request with this path starts
	LoadOverride *int    `json:"lie"`          // reported load, whatever the real one
	FrozenReport bool    `json:"frozenReport"` // go on reporting the load of the moment of the switch
	Silent       bool    `json:"silent"`       // accept requests and never answer, and announce nothing
	SilentLinks  bool    `json:"silentLinks"`  // never answer on connections that are open at the switch
}

// coldFactor is how much slower the first request of a cold start is.
const coldFactor = 5

// faultState is the faults in force with what was noted at their switch. It is
// immutable.
type faultState struct {
	Faults
	switchedAt time.Time
	frozenLoad int
}

// slowness returns the factor on the time of a request.
func (f *faultState) slowness(now time.Time) float64 {
	factor := 1.0
	if f.Slowdown > 0 {
		factor = f.Slowdown
	}
	if left := f.coldLeft(now); left > 0 {
		factor *= 1 + (coldFactor-1)*left
	}
	return factor
}

// coldLeft returns the share of a cold start that is still to come.
func (f *faultState) coldLeft(now time.Time) float64 {
	if f.ColdSeconds <= 0 {
		return 0
	}
	return max(0, 1-now.Sub(f.switchedAt).Seconds()/f.ColdSeconds)
}

// load returns the load that is reported in place of the real one.
func (f *faultState) load(actual int) int {
	switch {
	case f.LoadOverride != nil:
		return *f.LoadOverride
	case f.FrozenReport:
		return f.frozenLoad
	default:
		return actual
	}
}

type faultSwitch struct {
	current atomic.Pointer[faultState]
}

func (s *faultSwitch) load() *faultState {
	if f := s.current.Load(); f != nil {
		return f
	}
	return &faultState{}
}

// switchFaults serves PUT and GET /standin/faults.
func (s *Server) switchFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		writeJSON(w, s.faults.load().Faults)
		return
	}
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
	if faults.Crash {
		_ = http.NewResponseController(w).Flush()
		s.crash()
	}
}

// SetFaults switches faults.
func (s *Server) SetFaults(faults Faults) {
	s.faults.current.Store(&faultState{Faults: faults, switchedAt: time.Now(), frozenLoad: s.queue.Load()})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The reader has gone if this fails.
	_ = json.NewEncoder(w).Encode(value)
}
