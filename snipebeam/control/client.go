// Package control calls the control hosts on behalf of an operator.
//
// Usage:
//
//	client := control.New([]string{"127.0.0.1:7100"}, http.DefaultClient)
//	status, err := client.Status(ctx, &wire.StatusRequest{})
package control

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

// Client calls the control hosts in turn until one answers.
type Client struct {
	hosts []wire.Rules
}

// New returns a client of the control hosts at the addresses.
func New(addresses []string, client *http.Client) *Client {
	c := &Client{}
	for _, address := range addresses {
		c.hosts = append(c.hosts, wire.NewRulesProtobufClient("http://"+address, client))
	}
	return c
}

func try[T any](ctx context.Context, c *Client, call func(wire.Rules) (T, error)) (T, error) {
	var response T
	err := errors.New("no control host is named; use --control")
	for _, host := range c.hosts {
		response, err = call(host)
		if err == nil || final(err) || ctx.Err() != nil {
			return response, err
		}
	}
	return response, err
}

// final reports whether another host would say the same.
func final(err error) bool {
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == twirp.InvalidArgument
}

// Submit proposes a rules file.
func (c *Client) Submit(ctx context.Context, req *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	return try(ctx, c, func(h wire.Rules) (*wire.SubmitResponse, error) { return h.Submit(ctx, req) })
}

// Read returns one version of the rules.
func (c *Client) Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadResponse, error) {
	return try(ctx, c, func(h wire.Rules) (*wire.ReadResponse, error) { return h.Read(ctx, req) })
}

// History lists accepted versions.
func (c *Client) History(ctx context.Context, req *wire.HistoryRequest) (*wire.HistoryResponse, error) {
	return try(ctx, c, func(h wire.Rules) (*wire.HistoryResponse, error) { return h.History(ctx, req) })
}

// Status describes the control group and the hosts.
func (c *Client) Status(ctx context.Context, req *wire.StatusRequest) (*wire.StatusResponse, error) {
	return try(ctx, c, func(h wire.Rules) (*wire.StatusResponse, error) { return h.Status(ctx, req) })
}
