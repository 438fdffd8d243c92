package limiter

import (
	"math"
	"time"
)

const (
	// minRate is the lowest rate, in calls per second, so that a target that states a
	// lower one is still heard of: it ends its limit with a response.
	minRate = 0.25
	// minBurst and burstTime give how many calls may begin at once at a target that was
	// idle: minBurst and those of burstTime. A target that states a limit counts calls
	// over seconds, and arrivals are not even.
	minBurst  = 2
	burstTime = 250 * time.Millisecond
	// maxRateWait is the longest time that a call is expected to wait where there is a
	// rate. Another target may have room, and a caller is better told to return.
	maxRateWait = 250 * time.Millisecond
)

// rateLimit is a token bucket. The zero value admits all calls.
type rateLimit struct {
	// perSecond is the rate, or 0 if there is none.
	perSecond float64
	tokens    float64
	// at is when the tokens were counted.
	at time.Time
}

// set sets the rate in calls per second, or no rate if it is 0. The first rate begins
// with one token.
func (r *rateLimit) set(perSecond float64, now time.Time) {
	if perSecond > 0 {
		perSecond = max(perSecond, minRate)
	}
	if r.perSecond > 0 {
		r.refill(now)
	} else {
		r.tokens = 1
		r.at = now
	}
	r.perSecond = perSecond
	r.tokens = min(r.tokens, r.burst())
}

// isSet reports whether there is a rate.
func (r *rateLimit) isSet() bool {
	return r.perSecond > 0
}

// burst returns how many calls may begin at once.
func (r *rateLimit) burst() float64 {
	return minBurst + math.Floor(r.perSecond*burstTime.Seconds())
}

// refill adds the tokens since they were last counted.
func (r *rateLimit) refill(now time.Time) {
	elapsed := max(now.Sub(r.at).Seconds(), 0)
	r.tokens = min(r.tokens+elapsed*r.perSecond, r.burst())
	r.at = now
}

// take takes a token and reports whether there was one.
func (r *rateLimit) take(now time.Time) bool {
	if !r.isSet() {
		return true
	}
	r.refill(now)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// giveBack returns the token of a call that was not sent.
func (r *rateLimit) giveBack() {
	r.tokens = min(r.tokens+1, r.burst())
}

// wait returns the time until there are a number of tokens, counting those that are
// used meanwhile.
func (r *rateLimit) wait(tokens int, now time.Time) time.Duration {
	if !r.isSet() {
		return 0
	}
	r.refill(now)
	missing := float64(tokens) - r.tokens
	if missing <= 0 {
		return 0
	}
	seconds := min(missing/r.perSecond, time.Hour.Seconds())
	// Rounded up, so that the token is there after the wait.
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// load returns the calls that wait and those that cannot begin at once, as a multiple
// of a burst. It is at least 1 if no call can begin, and 0 without a rate.
func (r *rateLimit) load(waiting int, now time.Time) float64 {
	if !r.isSet() {
		return 0
	}
	r.refill(now)
	return (r.burst() - math.Floor(max(r.tokens, 0)) + float64(waiting)) / r.burst()
}
