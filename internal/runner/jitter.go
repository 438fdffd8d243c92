package runner

import (
	"math/rand/v2"
	"time"
)

// jitter returns a random duration between 0.5*d and 1.5*d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
