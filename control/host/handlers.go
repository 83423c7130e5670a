package host

import (
	"net/http"

	"github.com/snipebeam/snipebeam/control/settings"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/wire"
)

// operatorRing holds the operators' keys. It is a type of its own so that fx
// distinguishes it from the key ring for traffic between hosts.
type operatorRing struct {
	*key.Ring
}

func newOperatorRing(cfg *settings.Settings) (operatorRing, error) {
	ring, err := key.Load(cfg.Keys.Operators)
	return operatorRing{Ring: ring}, err
}

// handleRules registers the Rules service: Watch accepts the keys between
// hosts, all other methods accept the operators' keys.
func handleRules(mux *http.ServeMux, peers *key.Ring, operators operatorRing, all *servers, server http.Handler) {
	mux.Handle(wire.RulesPathPrefix, operators.Authenticate(all.calls(server)))
	mux.Handle(wire.RulesPathPrefix+"Watch", peers.Authenticate(all.calls(all.polls(server))))
}

// handleEvacuations registers the Evacuations service, which accepts the operators' keys only.
func handleEvacuations(mux *http.ServeMux, operators operatorRing, server http.Handler) {
	mux.Handle(wire.EvacuationsPathPrefix, operators.Authenticate(server))
}

// handleClaims registers the Claims service: Show and Resolve accept the
// operators' keys, all other methods accept the keys between hosts.
func handleClaims(mux *http.ServeMux, peers *key.Ring, operators operatorRing, server http.Handler) {
	mux.Handle(wire.ClaimsPathPrefix, peers.Authenticate(server))
	mux.Handle(wire.ClaimsPathPrefix+"Show", operators.Authenticate(server))
	mux.Handle(wire.ClaimsPathPrefix+"Resolve", operators.Authenticate(server))
}

// handleGroup registers the Group service, which accepts the operators' keys
// only. A control host that forwards a request authenticates with the
// operators' key.
func handleGroup(mux *http.ServeMux, operators operatorRing, server http.Handler) {
	mux.Handle(wire.GroupPathPrefix, operators.Authenticate(server))
}
