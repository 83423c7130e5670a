package caller

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/rule"
)

var (
	keysMissing = metrics.GetOrCreateCounter(`snipebeam_key_refusals_total{cause="missing"}`)
	keysUnknown = metrics.GetOrCreateCounter(`snipebeam_key_refusals_total{cause="unknown"}`)
	keysSeveral = metrics.GetOrCreateCounter(`snipebeam_key_refusals_total{cause="several"}`)
)

// identify returns the organisation that holds the key of a request, nil for none, or a
// problem if the rule needs a key that the request does not have. The rules must be
// confirmed: a host that does not know them cannot tell that a key is unknown.
func identify(r *http.Request, dialect *Dialect, set *rule.Set, found *rule.Rule) (*contract.Organisation, *outcome.Problem) {
	if len(set.Organisations()) == 0 {
		return nil, nil
	}
	key, several := keyOf(r, dialect)
	var organisation *contract.Organisation
	if key != "" && !several {
		organisation = set.OrganisationOf(key)
	}
	if organisation != nil || !set.NeedsKey(found) {
		return organisation, nil
	}
	switch {
	case several:
		keysSeveral.Inc()
		return nil, outcome.New(outcome.NotRun, outcome.KeyUnknown, "the request has several keys")
	case key == "":
		keysMissing.Inc()
		return nil, outcome.New(outcome.NotRun, outcome.KeyUnknown, "the route needs the key of an organisation")
	}
	keysUnknown.Inc()
	return nil, outcome.New(outcome.NotRun, outcome.KeyUnknown, "no organisation has this key")
}

// keyOf returns the key in a request, empty for none, and whether there are different ones.
func keyOf(r *http.Request, dialect *Dialect) (key string, several bool) {
	if dialect.Key == "" {
		return "", false
	}
	for n, value := range r.Header.Values(dialect.Key) {
		if n > 0 && value != key {
			return "", true
		}
		key = value
	}
	return key, false
}

// setOrganisation removes the caller's key from a request to an instance and names the
// organisation, whatever the caller sent. Trailers are dropped, as instances may merge them
// into the headers. A deployment without organisations forwards all of them.
func (c *call) setOrganisation(out *http.Request) {
	if !c.keyed {
		return
	}
	h := out.Header
	out.Trailer = nil
	if name := c.dialect.Key; name != "" {
		h.Del(name)
	}
	if name := c.dialect.Organisation; name != "" {
		h.Del(name)
		if c.organisation != nil {
			h.Set(name, c.organisation.Name())
		}
	}
}

// keepKey restores the caller's key in a request to another entry host, which checks it
// against its own rules. So a forged relay header gives no access.
func (c *call) keepKey(h http.Header) {
	if !c.keyed {
		return
	}
	if name := c.dialect.Organisation; name != "" {
		h.Del(name)
	}
	if key, _ := keyOf(c.r, c.dialect); key != "" {
		h.Set(c.dialect.Key, key)
	}
}
