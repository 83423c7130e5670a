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

// BenchmarkGrantOrganisationsOverHTTP measures a call of a host, with both sides of it, for as
// many of 85 organisations as a host has served in the last 10 s: 12 of 344 requests a second at
// 203 hosts, 49 of 814 at 55.
func BenchmarkGrantOrganisationsOverHTTP(b *testing.B) {
	for _, site := range []struct{ hosts, named int }{{203, 12}, {55, 49}} {
		b.Run(strconv.Itoa(site.named), func(b *testing.B) {
			now := time.Unix(1000, 0)
			rules := limits{}
			for n := range 85 {
				rules["o"+strconv.Itoa(n)] = 10
			}
			r := newOrganisationReplica(&now, rules)
			r.follow("a", 1, now.Add(-time.Hour))
			server := httptest.NewServer(wire.NewQuotaServer(r.Service))
			b.Cleanup(server.Close)
			client := wire.NewQuotaProtobufClient(server.URL, http.DefaultClient)
			for n := range b.N {
				now = now.Add(2 * time.Millisecond)
				sequence := uint64(n/site.hosts) + 1
				req := &wire.OrganisationGrantRequest{Host: "e" + strconv.Itoa(n%site.hosts), Sequence: sequence, Applied: sequence - 1, Term: 1}
				for k := range site.named {
					req.Needs = append(req.Needs, &wire.OrganisationNeed{Organisation: "o" + strconv.Itoa((n+k)%85), Waiting: uint32(k / (site.named - 1)), Held: 1, Reserve: 1})
				}
				_, err := client.GrantOrganisations(b.Context(), req)
				must.NoError(b, err)
			}
		})
	}
}
