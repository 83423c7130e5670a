package program

import (
	"bytes"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/logging"
)

func TestSignalsChangeLogLevel(t *testing.T) {
	var out bytes.Buffer
	logger := logging.New("p", "warn", &out)
	named := logger.Named("route")
	initial := logger.GetLevel().String()
	named.Debug("hidden")
	setLevel(logger, syscall.SIGUSR1, initial)
	named.Debug("shown")
	setLevel(logger, syscall.SIGUSR2, initial)
	named.Debug("hidden")
	must.StrContains(t, out.String(), `"shown"`)
	must.StrNotContains(t, out.String(), `"hidden"`)
}
