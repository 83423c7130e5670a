package host

import (
	"net/http"

	"github.com/snipebeam/snipebeam/control/settings"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/wire"
)

// operatorRing holds the operators' keys, apart from those between hosts.
type operatorRing struct {
	*key.Ring
}

func newOperatorRing(cfg *settings.Settings) (operatorRing, error) {
	ring, err := key.Load(cfg.Keys.Operators)
	return operatorRing{Ring: ring}, err
}

// handleRules lets entry hosts watch, and operators do the rest.
func handleRules(mux *http.ServeMux, peers *key.Ring, operators operatorRing, server http.Handler) {
	mux.Handle(wire.RulesPathPrefix, operators.Guard(server))
	mux.Handle(wire.RulesPathPrefix+"Watch", peers.Guard(server))
}

// handleClaims lets entry hosts claim, and operators show and resolve.
func handleClaims(mux *http.ServeMux, peers *key.Ring, operators operatorRing, server http.Handler) {
	mux.Handle(wire.ClaimsPathPrefix, peers.Guard(server))
	mux.Handle(wire.ClaimsPathPrefix+"Show", operators.Guard(server))
	mux.Handle(wire.ClaimsPathPrefix+"Resolve", operators.Guard(server))
}

// handleGroup lets operators alone change the control group. A control host
// that passes a request on sends the operators' key.
func handleGroup(mux *http.ServeMux, operators operatorRing, server http.Handler) {
	mux.Handle(wire.GroupPathPrefix, operators.Guard(server))
}
