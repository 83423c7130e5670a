package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/standin/upstream"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/logging"
)

type upstreamCommand struct {
	ID        string        `required:"" help:"Unique name of the instance."`
	Service   string        `required:"" help:"Service of the instance."`
	Listen    string        `default:"127.0.0.1:0" help:"Address to listen on."`
	Zone      string        `help:"Availability zone."`
	Slots     int           `default:"3" help:"Requests run at once."`
	Work      time.Duration `default:"5ms" help:"Mean time of a request in a slot."`
	Sigma     float64       `default:"0.8" help:"Sigma of the lognormal time of a request, 0 for constant."`
	ProbeCost time.Duration `default:"6ms" help:"Time that a probe takes in a slot."`
	Once      string        `default:"Idempotency-Key" help:"Header that carries the idempotency key."`
	MaxQueue  int           `help:"Requests that may wait before it sheds, 0 for any number."`
	KeyFile   string        `help:"File with the instances' key."`
	Entries   []string      `help:"Platform addresses of entry hosts to announce to."`
}

// Run serves until the program is told to stop, then drains.
func (c *upstreamCommand) Run() error {
	logger := logging.New("snipebeam-standin", "info", os.Stderr)
	ring, err := key.Load(c.KeyFile)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := upstream.New(upstream.Config{
		ID: c.ID, Service: c.Service, Slots: c.Slots, ServiceTime: c.Work, Sigma: c.Sigma, ProbeCost: c.ProbeCost, IdempotencyHeader: c.Once, MaxQueue: c.MaxQueue,
	})
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	web := &http.Server{Handler: server, ReadHeaderTimeout: time.Minute, ConnContext: upstream.ConnContext}
	go func() { _ = web.Serve(listener) }()
	logger.Info("instance started", "id", c.ID, "service", c.Service, "address", listener.Addr().String())
	upstream.NewAnnouncer(server, listener.Addr().String(), c.Zone, c.Entries, ring, logger).Run(ctx)
	return errors.Wrap(web.Shutdown(context.Background()), "stop")
}
