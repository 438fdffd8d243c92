// Package admitter bounds how many processes may join or reconnect in a
// second, so that a herd does not bury the one it comes to.
package admitter

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// An Admitter admits at a bounded rate.
type Admitter struct {
	limiter *rate.Limiter
	random  *rand.Rand
	spread  time.Duration
}

// New returns a new Admitter of perSecond entries, with as many at once.
// Those refused are spread over the given time.
func New(perSecond int, spread time.Duration, random *rand.Rand) *Admitter {
	return &Admitter{
		limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond),
		random:  random,
		spread:  spread,
	}
}

// Admit reports whether one more may come in at now, and otherwise after what
// time it should try again.
func (a *Admitter) Admit(now time.Time) (later time.Duration, ok bool) {
	if a.limiter.AllowN(now, 1) {
		return 0, true
	}
	half := a.spread / 2
	return half + time.Duration(a.random.Int64N(int64(half))), false
}
