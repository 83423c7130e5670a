package upstream

import (
	"context"
	"net"
	"time"
)

type linkKey struct{}

// ConnContext notes when a connection was opened; give it to http.Server.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, linkKey{}, time.Now())
}

// openedAt returns when a request's connection was opened.
func openedAt(ctx context.Context) time.Time {
	at, _ := ctx.Value(linkKey{}).(time.Time)
	return at
}

// silenced reports whether nothing may be answered on a request's connection.
func (f *faultState) silenced(ctx context.Context) bool {
	return f.Silent || f.SilentLinks && openedAt(ctx).Before(f.switchedAt)
}
