// Package waiter provides a sleep that a context can end early.
package waiter

import (
	"context"
	"time"
)

// Pause waits for the given time or until ctx ends.
func Pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
