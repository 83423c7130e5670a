package upstream

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"
)

// Faults are the faults that an instance simulates. PUT /standin/faults
// replaces all of them, so an omitted one is switched off; GET returns the
// active ones.
type Faults struct {
	Slowdown     float64 `json:"slowdown"`     // factor on the service time, 0 and 1 for none
	Draining     bool    `json:"draining"`     // announce that the instance is draining
	ColdSeconds  float64 `json:"coldSeconds"`  // announce a cold start of this length, slow at first
	Shed         bool    `json:"shed"`         // refuse each request before it starts
	FailFast     bool    `json:"failFast"`     // respond 500 without doing the work
	Crash        bool    `json:"crash"`        // end the process after the response to the PUT
	CrashOn      string  `json:"crashOn"`      // end the process when a request for this path starts
	LoadOverride *int    `json:"lie"`          // load to report instead of the actual load
	FrozenReport bool    `json:"frozenReport"` // keep reporting the load at the time of the switch
	Silent       bool    `json:"silent"`       // accept requests without responding, and send no announcements
	SilentLinks  bool    `json:"silentLinks"`  // send no response on connections that are open at the switch
}

// coldFactor is the factor on the service time at the beginning of a cold start.
const coldFactor = 5

// faultState holds the active faults, with the time and the load at which they
// were switched on. It is immutable.
type faultState struct {
	Faults
	switchedAt time.Time
	frozenLoad int
}

// serviceTimeFactor returns the factor on the service time of a request.
func (f *faultState) serviceTimeFactor(now time.Time) float64 {
	factor := 1.0
	if f.Slowdown > 0 {
		factor = f.Slowdown
	}
	if cold := f.coldFraction(now); cold > 0 {
		factor *= 1 + (coldFactor-1)*cold
	}
	return factor
}

// coldFraction returns the remaining fraction of a cold start.
func (f *faultState) coldFraction(now time.Time) float64 {
	if f.ColdSeconds <= 0 {
		return 0
	}
	return max(0, 1-now.Sub(f.switchedAt).Seconds()/f.ColdSeconds)
}

// load returns the load to report, given the actual one.
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

type faultHolder struct {
	current atomic.Pointer[faultState]
}

func (s *faultHolder) load() *faultState {
	if f := s.current.Load(); f != nil {
		return f
	}
	return &faultState{}
}

// serveFaults serves PUT and GET /standin/faults.
func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
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

// SetFaults replaces the active faults.
func (s *Server) SetFaults(faults Faults) {
	s.faults.current.Store(&faultState{Faults: faults, switchedAt: time.Now(), frozenLoad: s.queue.Load()})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected, so it cannot be reported.
	_ = json.NewEncoder(w).Encode(value)
}
