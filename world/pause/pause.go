// Package pause waits for a time that a context can cut short.
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

// For waits and reports whether the whole time has passed.
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
