package logging_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/logging"
)

func TestLevelsChangeByPackage(t *testing.T) {
	var out bytes.Buffer
	log := logging.New("p", "info", &out)
	route, peer := log.Named("route"), log.Named("peer")
	route.Debug("a")
	must.NoError(t, logging.SetLevel(log, "route", "debug"))
	route.Debug("b")
	peer.Debug("c")
	must.NoError(t, logging.SetLevel(log, "", "error"))
	peer.Info("d")
	log.Info("e")
	must.Eq(t, 1, strings.Count(out.String(), "\n"))
	must.StrContains(t, out.String(), `"@message":"b"`)
	must.ErrorContains(t, logging.SetLevel(log, "rout", "debug"), "peer, route")
	must.ErrorContains(t, logging.SetLevel(log, "route", "loud"), "unknown log level")
}
