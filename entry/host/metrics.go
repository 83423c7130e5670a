package host

import (
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/prometheus"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
)

func newExporter(state *State, table *rules.Table, views *route.Views, book *backlog.Tracker, decisions *decision.Log) *prometheus.Exporter {
	return prometheus.New(prometheus.Config{Table: table, Views: views, Backlog: book, Decisions: decisions, State: state.Name})
}
