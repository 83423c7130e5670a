package main

import (
	"bytes"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/prometheus"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/instance"
)

func init() { register("see", measureScrapes) }

// fleetSize is a number of services and instances.
type fleetSize struct {
	name      string
	services  int
	instances int
}

var fleetSizes = []fleetSize{
	{name: "Today", services: 4, instances: 30},
	{name: "TwoYears", services: 140, instances: 3900},
}

func measureScrapes(emit func(figure.Figure)) error {
	for _, size := range fleetSizes {
		exporter := exporterOf(size)
		var out bytes.Buffer
		start := time.Now()
		exporter.Write(&out)
		took := time.Since(start)
		emit(figure.Plain("see", "scrapeBytes"+size.name, float64(out.Len()), "bytes").WithNote(fmt.Sprintf("%d instances of %d services, all known to one host", size.instances, size.services)))
		emit(figure.Plain("see", "scrapeMs"+size.name, float64(took.Microseconds())/1000, "ms"))
	}
	return nil
}

func exporterOf(size fleetSize) *prometheus.Exporter {
	tracker := backlog.NewTracker()
	for s := range size.services {
		tracker.Track(serviceName(s), time.Now())
	}
	return prometheus.New(prometheus.Config{
		Table: rules.NewTable(), Views: viewsOf(size), Backlog: tracker,
		Decisions: decision.NewLog(hclog.NewNullLogger()), State: func() string { return "ready" },
	})
}

func serviceName(n int) string { return fmt.Sprintf("service-%d", n) }

// viewsOf returns views with the instances evenly distributed over the services.
func viewsOf(size fleetSize) *route.Views {
	members := map[string][]route.Member{}
	for n := range size.instances {
		service := serviceName(n % size.services)
		i := instance.New(instance.ID(fmt.Sprintf("%s-%d", service, n)), service, "127.0.0.1:1")
		members[service] = append(members[service], route.NewMember(i, &route.Load{}))
	}
	all := map[string]*route.View{}
	for service, list := range members {
		all[service] = route.NewView(service, list)
	}
	views := &route.Views{}
	views.Store(all)
	return views
}
