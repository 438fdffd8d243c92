// Package admitter limits the rate at which other processes may join, reconnect
// or make requests, so that many at once do not overload this process.
package admitter

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// An Admitter is a rate limiter that gives refused requests a randomized retry
// delay. It is not safe for concurrent use.
type Admitter struct {
	limiter     *rate.Limiter
	random      *rand.Rand
	retrySpread time.Duration
}

// New returns an Admitter that admits perSecond requests a second, in bursts of
// up to as many. Refused requests are given a random retry delay between
// half of retrySpread and retrySpread.
func New(perSecond int, retrySpread time.Duration, random *rand.Rand) *Admitter {
	return &Admitter{
		limiter:     rate.NewLimiter(rate.Limit(perSecond), perSecond),
		random:      random,
		retrySpread: retrySpread,
	}
}

// Admit reports whether a request that arrives at now is admitted. If not, it
// returns the delay after which to retry.
func (a *Admitter) Admit(now time.Time) (retryAfter time.Duration, ok bool) {
	if a.limiter.AllowN(now, 1) {
		return 0, true
	}
	half := a.retrySpread / 2
	return half + time.Duration(a.random.Int64N(int64(half))), false
}
