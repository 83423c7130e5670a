package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/snipebeam/snipebeam/standin/caller"
)

type callCommand struct {
	Entries  []string      `required:"" help:"Platform addresses of entry hosts to ask."`
	Service  string        `required:"" help:"Service to call."`
	Zone     string        `help:"Availability zone of the caller."`
	Method   string        `default:"GET" help:"Request method."`
	Path     string        `default:"/" help:"Request path."`
	Rate     float64       `default:"50" help:"Requests a second."`
	Duration time.Duration `default:"10s" help:"How long to call."`
	Body     int           `help:"Bytes of request body."`
	Once     string        `help:"Header that carries a fresh idempotency key."`
}

// Run calls until the duration has passed and prints a summary as JSON.
func (c *callCommand) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	summary := caller.Run(ctx, caller.Config{
		Platforms: c.Entries, Service: c.Service, Zone: c.Zone, Method: c.Method, Path: c.Path,
		Rate: c.Rate, Duration: c.Duration, BodyBytes: c.Body, Once: c.Once,
	})
	return json.NewEncoder(os.Stdout).Encode(summary)
}
