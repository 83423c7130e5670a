// Package crowd sends requests of clients that do not keep to the limits to the real
// programs, and measures what the programs hold meanwhile.
//
// Usage:
//
//	p, err := crowd.Start(crowd.Limits{Bytes: 68 << 20, Descriptors: 287}, logPath, env, program, args...)
//	crowd.Send(ctx, address, target, crowd.ShortLines)
//	peak, err := p.PeakBytes()
package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Size of a crowd.
const (
	Connections = 400
	// floodBytes is what a client sends of something that has no end. The sum over all
	// connections is many times the memory of a host.
	floodBytes = 1 << 20
	// patience ends a client whose connection neither takes bytes nor fails.
	patience = 2 * time.Second
)

// Target is where a listener expects requests.
type Target struct {
	Method string
	Path   string
	Host   string
}

// Shape returns what the n-th client of a crowd sends. What is sent last comes after all
// clients have sent the rest.
type Shape func(t Target, n int) (first io.Reader, last []byte)

// Send opens the connections of a crowd, sends the shape on each, and holds all of them
// open until each client has sent everything, was cut off or gave up.
func Send(ctx context.Context, address string, t Target, shape Shape) {
	var sent, done sync.WaitGroup
	sent.Add(Connections)
	for n := range Connections {
		done.Go(func() { send(ctx, address, t, shape, n, &sent) })
	}
	done.Wait()
}

func send(ctx context.Context, address string, t Target, shape Shape, n int, sent *sync.WaitGroup) {
	first, last := shape(t, n)
	conn, err := (&net.Dialer{Timeout: patience}).DialContext(ctx, "tcp", address)
	if err != nil {
		sent.Done()
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err = io.Copy(writerOnly{conn}, first); err != nil {
		last = nil
	}
	sent.Done()
	sent.Wait()
	_ = conn.SetDeadline(time.Now().Add(patience / 2))
	if len(last) == 0 {
		return
	}
	if _, err = conn.Write(last); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// writerOnly hides the connection's ReadFrom, so that a reader's pauses are kept.
type writerOnly struct{ io.Writer }
