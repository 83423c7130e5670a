package outcome_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// Guards against a wait that is rounded down, so that the caller comes back too early, and
// against one that is told although the request may have run.
func TestRetryAfterIsThatOfTheProblemInWholeSeconds(t *testing.T) {
	for _, test := range []struct {
		kind outcome.Kind
		wait time.Duration
		want string
	}{
		{outcome.NotRun, 0, "1"},
		{outcome.NotRun, 300 * time.Millisecond, "1"},
		{outcome.NotRun, 2100 * time.Millisecond, "3"},
		{outcome.Unknown, 2100 * time.Millisecond, ""},
	} {
		w := httptest.NewRecorder()
		outcome.New(test.kind, outcome.Overload, "").WithRetryAfter(test.wait).Write(w, "")
		must.Eq(t, test.want, w.Header().Get("Retry-After"))
	}
}
