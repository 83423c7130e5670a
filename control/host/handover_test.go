package host_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Guards against commands of unknown outcome while the leader stops: it ended the
// requests of the other control hosts before it had handed over.
func TestCommandsThroughOthersHaveAnOutcomeWhileTheLeaderStops(t *testing.T) {
	hosts := startGroup(t, "control-1", "control-2", "control-3")
	first := leader(t, hosts)
	var old *controlHost
	var others []*controlHost
	for _, h := range hosts {
		if h.name == first {
			old = h
			continue
		}
		others = append(others, h)
	}
	stopDone := make(chan error, 1)
	for n := 0; len(stopDone) == 0; n++ {
		if n == 1 {
			go func() { stopDone <- old.stop() }()
		}
		_, err := others[n%len(others)].rules().Submit(t.Context(), &wire.SubmitRequest{
			SubmissionId: strconv.Itoa(n), Text: "route a" + strconv.Itoa(n) + " # Marie: why\n",
		})
		if err != nil && strings.Contains(err.Error(), "failed to do request") {
			continue // the command crossed the close of the connection
		}
		must.NoError(t, err, must.Sprint("submission ", n))
	}
	must.NoError(t, <-stopDone)
}
