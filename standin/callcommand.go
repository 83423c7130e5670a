package main

import (
	"context"
	"encoding/json"
	"fmt"
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
	Quiet    bool          `help:"Print no progress line."`
}

// Run calls until the duration has passed and prints a summary as JSON.
func (c *callCommand) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	cfg := caller.Config{
		EntryAddresses: c.Entries, Service: c.Service, Zone: c.Zone, Method: c.Method, Path: c.Path,
		Rate: c.Rate, Duration: c.Duration, BodyBytes: c.Body, IdempotencyHeader: c.Once,
	}
	if !c.Quiet {
		cfg.Progress = func(elapsed time.Duration, soFar caller.Summary) {
			fmt.Fprintf(os.Stderr, "%s %s\n", elapsed.Round(time.Second), soFar)
		}
	}
	return json.NewEncoder(os.Stdout).Encode(caller.Run(ctx, cfg))
}
