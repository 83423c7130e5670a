// Package entry asks the entry hosts on behalf of an operator, all of them at
// once, and says which of them did not answer.
//
// Usage:
//
//	hosts := entry.Hosts(status)
//	gathered := entry.Gather(ctx, client, hosts, func(ctx context.Context, h wire.Entry) (*wire.BacklogResponse, error) {
//		return h.Backlog(ctx, &wire.BacklogRequest{})
//	})
package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	// askLimit bounds the time that one host has to answer.
	askLimit = 2 * time.Second
	// maxAsked is how many hosts are asked at the same time.
	maxAsked = 64
)

// Hosts returns the entry hosts of a status.
func Hosts(status *wire.StatusResponse) []*wire.HostReport {
	var all []*wire.HostReport
	for _, host := range status.GetHosts() {
		if host.GetRole() == "entry" {
			all = append(all, host)
		}
	}
	return all
}

// Response is what one host said.
type Response[T any] struct {
	Host  string
	Value T
}

// Gathered holds the answers of the hosts that were heard, in the order in
// which they were asked.
type Gathered[T any] struct {
	Responses []Response[T]
	Failed    []string
	Err       error // what the last unheard host said
}

// Gather asks all hosts at once.
func Gather[T any](ctx context.Context, client *http.Client, hosts []*wire.HostReport, call func(context.Context, wire.Entry) (T, error)) Gathered[T] {
	values := make([]T, len(hosts))
	errs := make([]error, len(hosts))
	open := make(chan struct{}, maxAsked)
	var group sync.WaitGroup
	for n, host := range hosts {
		open <- struct{}{}
		group.Go(func() {
			defer func() { <-open }()
			values[n], errs[n] = Call(ctx, client, host, call)
		})
	}
	group.Wait()
	var g Gathered[T]
	for n, host := range hosts {
		if errs[n] != nil {
			g.Failed = append(g.Failed, host.GetName())
			g.Err = errs[n]
			continue
		}
		g.Responses = append(g.Responses, Response[T]{Host: host.GetName(), Value: values[n]})
	}
	return g
}

// Call asks one host.
func Call[T any](ctx context.Context, client *http.Client, host *wire.HostReport, call func(context.Context, wire.Entry) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	return call(ctx, wire.NewEntryProtobufClient("http://"+host.GetPeersAddress(), client))
}
