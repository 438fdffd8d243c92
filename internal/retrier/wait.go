package retrier

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
)

const (
	firstWait = 5 * time.Millisecond
	lastWait  = 250 * time.Millisecond
)

// Wait waits before the next try: not at all before the first retry of a call
// that was not run, and otherwise with jittered, growing waits.
func Wait(ctx context.Context, try int, outcome fireflymoor.Outcome) error {
	if try == 0 && outcome == fireflymoor.NotRun {
		return nil
	}
	wait := min(firstWait<<min(try, 10), lastWait)
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(wait))) + 1)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "retrier: wait")
	case <-timer.C:
		return nil
	}
}
