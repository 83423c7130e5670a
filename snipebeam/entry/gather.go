// Package entry is a client of the entry hosts for the operators' commands. It
// calls all of them concurrently and reports which of them failed to respond.
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
	// callTimeout bounds the call to one host.
	callTimeout = 2 * time.Second
	// maxConcurrentCalls bounds the number of hosts that are called concurrently.
	maxConcurrentCalls = 64
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

// Response is the response of one host.
type Response[T any] struct {
	Host  string
	Value T
}

// Gathered holds the responses of the hosts that responded, in the order of the
// hosts, and the names of those that failed.
type Gathered[T any] struct {
	Responses []Response[T]
	Failed    []string
	Err       error // of the last host that failed
}

// Gather calls all hosts concurrently, up to a limit, and waits for every one.
func Gather[T any](ctx context.Context, client *http.Client, hosts []*wire.HostReport, call func(context.Context, wire.Entry) (T, error)) Gathered[T] {
	values := make([]T, len(hosts))
	errs := make([]error, len(hosts))
	sem := make(chan struct{}, maxConcurrentCalls)
	var group sync.WaitGroup
	for n, host := range hosts {
		sem <- struct{}{}
		group.Go(func() {
			defer func() { <-sem }()
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

// Call calls one host.
func Call[T any](ctx context.Context, client *http.Client, host *wire.HostReport, call func(context.Context, wire.Entry) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx, wire.NewEntryProtobufClient("http://"+host.GetPeersAddress(), client))
}
