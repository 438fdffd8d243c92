// Package waiter waits for as long as somebody still wants to.
package waiter

import (
	"context"
	"time"
)

// Pause waits, at most until the context ends.
func Pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
