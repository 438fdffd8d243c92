package retrier

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
)

const (
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
)

// Wait waits before the next try of a call, given how many tries reached a
// target and how the last one ended. It does not wait if no try reached a
// target and the last one was not run. Otherwise it waits for a random part of
// an exponential backoff. It returns an error if ctx ends first.
func Wait(ctx context.Context, arrivals int, outcome fireflymoor.Outcome) error {
	if arrivals == 0 && outcome == fireflymoor.NotRun {
		return nil
	}
	backoff := min(initialBackoff<<min(arrivals, 10), maxBackoff)
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(backoff))) + 1)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "retrier: wait")
	case <-timer.C:
		return nil
	}
}
