package runner

import (
	"math/rand/v2"
	"time"
)

// jitter returns between half and one and a half of d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
