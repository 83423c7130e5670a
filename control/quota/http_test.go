package quota_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/wire"
)

// BenchmarkGrantOrganisationsOverHTTP measures a call of a host for four organisations, with
// both sides of it.
func BenchmarkGrantOrganisationsOverHTTP(b *testing.B) {
	now := time.Unix(1000, 0)
	rules := limits{"o0": 126, "o1": 10, "o2": 10, "o3": 10}
	r := newOrganisationReplica(&now, rules)
	r.follow("a", 1, now.Add(-time.Hour))
	server := httptest.NewServer(wire.NewQuotaServer(r.Service))
	b.Cleanup(server.Close)
	client := wire.NewQuotaProtobufClient(server.URL, http.DefaultClient)
	const hosts = 203
	for n := range b.N {
		now = now.Add(2 * time.Millisecond)
		sequence := uint64(n/hosts) + 1
		req := &wire.OrganisationGrantRequest{Host: "e" + strconv.Itoa(n%hosts), Sequence: sequence, Applied: sequence - 1, Term: 1}
		for name := range rules {
			req.Needs = append(req.Needs, &wire.OrganisationNeed{Organisation: name, Waiting: uint32(n % 2), Held: 1, Reserve: 1})
		}
		_, err := client.GrantOrganisations(b.Context(), req)
		must.NoError(b, err)
	}
}
