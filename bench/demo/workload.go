package main

import (
	"context"
	"net/http"
	"sync"

	"github.com/snipebeam/snipebeam/standin/caller"
)

// zones are the availability zones of the demo.
var zones = []string{"trois-rivieres", "shawinigan", "becancour"}

// workload is one service with its instances and the load on it.
type workload struct {
	service   string
	instances int
	method    string
	path      string
	rate      float64
	body      int
	keyHeader string
}

const idempotencyHeader = "Idempotency-Key"

var workloads = []workload{
	{service: "catalogue", instances: 10, method: http.MethodGet, path: "/lookup/titanium", rate: 300},
	{service: "checkout", instances: 6, method: http.MethodPost, path: "/payments/1", rate: 40, body: 512, keyHeader: idempotencyHeader},
	{service: "aftercare", instances: 6, method: http.MethodPost, path: "/photos/1", rate: 5, body: 1 << 20},
	{service: "orders", instances: 8, method: http.MethodGet, path: "/orders/1", rate: 100},
}

// load runs all workloads concurrently.
func (d *demo) load(ctx context.Context) []caller.Summary {
	summaries := make([]caller.Summary, len(workloads))
	var group sync.WaitGroup
	for n, w := range workloads {
		group.Go(func() {
			summaries[n] = caller.Run(ctx, caller.Config{
				EntryAddresses: d.cluster.PlatformAddresses(), Service: w.service, Zone: zones[n%len(zones)], Method: w.method,
				Path: w.path, Rate: w.rate, Duration: d.cli.Duration, BodyBytes: w.body, IdempotencyHeader: w.keyHeader,
			})
		})
	}
	group.Wait()
	return summaries
}
