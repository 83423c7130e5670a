package host

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
)

// quotaRecorder is a leader that keeps the last call for grants.
type quotaRecorder struct {
	wire.Quota
	last *wire.GrantRequest
}

func (q *quotaRecorder) Grant(_ context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	q.last = req
	return &wire.GrantResponse{Leader: true, ValidNs: int64(time.Second), ColdOnly: true, Grants: []*wire.Grant{{Instance: "cold", Requests: 2}}}, nil
}

// directly sends requests to a handler without a network.
type directly struct{ http.Handler }

func (d directly) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.ServeHTTP(w, r)
	return w.Result(), nil
}

// Guards against a leader that is not told that an instance is cold, or takes one that named
// no limit for one whose limit has ended.
func TestCallForGrantsNamesColdInstances(t *testing.T) {
	leader := &quotaRecorder{}
	client := &http.Client{Transport: directly{wire.NewQuotaServer(leader)}}
	views := &route.Views{}
	g := &grants{host: "e", quota: control.NewQuota(func() []string { return []string{"c:1"} }, client), news: newRateLimitNews(views, hclog.NewNullLogger())}
	member := func(id instance.ID, named bool, opts ...instance.Option) route.Member {
		m := route.NewMember(instance.New(id, "shop", "", opts...), &route.Load{})
		if named {
			m.Load().RecordRateLimit(route.NewRateLimit(5), time.Now().UnixNano())
		}
		return m
	}
	cold := []instance.Option{instance.WithCold(true), instance.WithWarmupLeft(time.Hour)}
	granted, err := g.request(t.Context(), 3, []route.Member{member("cold", false, cold...), member("both", true, cold...), member("named", true)})
	must.NoError(t, err)
	must.Eq(t, 2, granted.Requests["cold"])
	must.True(t, granted.ColdOnly)
	must.Eq(t, "shop", leader.last.GetService())
	must.Eq(t, []string{"cold", "both"}, leader.last.GetCold())
	must.Len(t, 2, leader.last.GetRateLimits())
	must.Eq(t, "both", leader.last.GetRateLimits()[0].GetInstance())
	must.Eq(t, "named", leader.last.GetRateLimits()[1].GetInstance())
}

func TestProbeHearsForHowLongAnInstanceStaysCold(t *testing.T) {
	noLoad := func(http.Header) (caller.LoadReport, bool) { return caller.LoadReport{}, false }
	for name, o := range map[string]options{"a dialect": {dialect: &caller.Dialect{Warmup: "Time-Cold", Load: noLoad}}, "one without the header": {dialect: &caller.Dialect{Load: noLoad}}, "none": {}} {
		var report route.ProbeReport
		o.addLoad(&report, http.Header{"Time-Cold": {"900"}})
		must.Eq(t, name == "a dialect", report.Warmup.Stated(), must.Sprint(name))
	}
}
