package upstream

import (
	"context"
	"net"
	"time"
)

type linkKey struct{}

// ConnContext stores in the context when a connection was opened; set it as
// http.Server.ConnContext.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, linkKey{}, time.Now())
}

// openedAt returns when the connection of a request was opened.
func openedAt(ctx context.Context) time.Time {
	at, _ := ctx.Value(linkKey{}).(time.Time)
	return at
}

// silenced reports whether a fault forbids responses on the connection of a
// request.
func (f *faultState) silenced(ctx context.Context) bool {
	return f.Silent || f.SilentLinks && openedAt(ctx).Before(f.switchedAt)
}
