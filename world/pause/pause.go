// Package pause sleeps until a time has passed or a context is done.
//
// Usage:
//
//	if !pause.For(ctx, retryPause) {
//		return ctx.Err()
//	}
package pause

import (
	"context"
	"time"
)

// For sleeps for the duration and reports whether it passed in full, that is,
// whether the context was not done first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
