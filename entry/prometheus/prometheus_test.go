package prometheus_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/prometheus"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/instance"
)

func TestServicesThatNoRuleNamesMakeNoSeries(t *testing.T) {
	log := decision.NewLog(hclog.NewNullLogger())
	views := &route.Views{}
	member := route.NewMember(instance.New("orders-1", "orders", "127.0.0.1:1"), &route.Load{})
	views.Store(map[string]*route.View{"orders": route.NewView("orders", []route.Member{member})})
	book := backlog.NewTracker()
	book.Track("orders", time.Now())
	for _, service := range []string{"invented-1", "invented-2"} {
		log.Write(&decision.Decision{Kind: decision.Route, Service: service, Outcome: "not-run", Problem: "unknown-service"})
	}
	log.Write(&decision.Decision{Kind: decision.Route, Service: "orders", Rule: "rules:1:1", Outcome: "answer"})

	var out bytes.Buffer
	prometheus.New(prometheus.Config{
		Table: rules.NewTable(), Views: views, Backlog: book, Decisions: log, State: func() string { return "ready" },
	}).Write(&out)
	text := out.String()
	must.StrNotContains(t, text, "invented")
	must.StrContains(t, text, `snipebeam_requests_total{service="",outcome="not-run",reason="unknown-service"} 2`)
	must.StrContains(t, text, `snipebeam_requests_total{service="orders",outcome="answer",reason=""} 1`)
	must.StrContains(t, text, `snipebeam_requests_queued{service="orders"} 1`)
	must.StrContains(t, text, `snipebeam_instance_slots{service="orders",instance="orders-1"} 3`)
	must.StrContains(t, text, "snipebeam_host_ready 1")
	must.Eq(t, 1, strings.Count(text, "snipebeam_rules_version "))
}
