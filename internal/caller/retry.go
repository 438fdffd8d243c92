package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/retrier"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

const (
	// Callers that are refused should retry after between 1/minDelayDivisor and
	// 1/maxDelayDivisor of their route's objective: spread out, and early
	// enough to be answered within the objective.
	minDelayDivisor = 10
	maxDelayDivisor = 4
	// timeLeftDivisor bounds the delay to the time left divided by it.
	timeLeftDivisor = 3
	// redirectWait is the wait for a slot above which a call is sent back while it can
	// be tried at another target. A further try takes about as long.
	redirectWait = 5 * time.Millisecond
	// newsTime is the wait before a call is sent again whose target has ended. The same
	// request may be ending other targets, and news of that is on its way.
	newsTime = 100 * time.Millisecond
	// minRedirectTime is the time that a call must have left to be sent back.
	minRedirectTime = 100 * time.Millisecond
	// maxRedirectBody bounds the body of a call that is sent back, in bytes. It crosses
	// the link for each try, which takes 8 ms at 3.9 Mbit/s.
	maxRedirectBody = 4 << 10
)

// mayRedirect reports whether a target's node may send back a call whose current try
// is already counted. The last try of a call waits for its slot.
func (h *Handler) mayRedirect(ctx context.Context, c *call) bool {
	deadline, ok := ctx.Deadline()
	return len(c.tried) < h.options.RefusalRate.MaxTries(c.service.Name, maxTries) &&
		0 <= c.body.length && c.body.length <= maxRedirectBody && c.body.replayable() &&
		(!ok || time.Until(deadline) > minRedirectTime)
}

// mayRetry reports whether the call may be tried once more, and waits for the
// backoff if so. A call that was not run may be tried elsewhere whatever its
// method, a call that may have run only if its route lets the method repeat.
// Only tries that may have run count towards the route's retries, and only tries
// that reached a target towards the retry budget: a target that sheds a call has
// not run it, but it had the work of refusing it.
func (h *Handler) mayRetry(ctx context.Context, c *call, outcome fireflymoor.Outcome, err error) bool {
	mayRepeat := outcome == fireflymoor.NotRun || c.route.MayRepeat(c.request.Method)
	arrived := outcome == fireflymoor.Unknown || errors.Is(err, fireflymoor.ErrRefusedByTarget)
	if outcome == fireflymoor.Unknown {
		c.runs++
	}
	tryLimit := h.options.RefusalRate.MaxTries(c.service.Name, maxTries)
	switch {
	case errors.IsAny(err, errNoTarget, errWithdrawn, fireflymoor.ErrCallerLeft, fireflymoor.ErrQuarantined), c.runs > c.route.Retries, len(c.tried) >= tryLimit, !mayRepeat, ctx.Err() != nil:
		return false
	case !c.body.replayable():
		h.options.Log.Info().Str("call", c.id).Err(errBodyNotReplayable).Msg("caller: no retry")
		return false
	case arrived && !h.options.Budget.Spend(c.service.Name, c.view.Configuration().Limits().RetryBudget, time.Now()):
		h.options.Log.Info().Str("call", c.id).Str("service", c.service.Name).Err(errRetryBudgetSpent).Msg("caller: no retry")
		return false
	}
	if errors.HasType(err, &fireflymoor.EndedError{}) {
		waiter.Pause(ctx, newsTime)
	}
	// The last try's transport may have read on while this one waited.
	return retrier.Wait(ctx, c.runs, outcome) == nil && c.body.rewind()
}

// retryDelay returns how long the caller of a call that was not run should wait
// before it retries. It returns 0 for other outcomes and if no time is left. If the
// call was refused by targets with limits, that is at least limitInterval, the time
// after which one of them admits another call, as far as there is time.
func retryDelay(ctx context.Context, route fireflymoor.Route, outcome fireflymoor.Outcome, limitInterval time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if outcome != fireflymoor.NotRun || !ok {
		return 0
	}
	timeLeft := time.Until(deadline)
	if timeLeft <= 0 {
		return 0
	}
	bound := timeLeft / timeLeftDivisor
	latest := bound
	if route.Objective > 0 {
		latest = min(latest, route.Objective/maxDelayDivisor)
	}
	earliest := latest * maxDelayDivisor / minDelayDivisor
	if limitInterval > 0 {
		earliest = min(max(earliest, limitInterval), bound/2) // spread out, also at the bound
		latest = min(max(latest, 2*earliest), bound)
	}
	return earliest + time.Duration(rand.Int64N(int64(latest-earliest)+1))
}

// failureStatus returns the HTTP status for a call that got no response from a
// target.
func failureStatus(ctx context.Context, c *call, outcome fireflymoor.Outcome, err error) int {
	switch {
	case outcome == fireflymoor.NotRun && errors.Is(err, errWithdrawn):
		return http.StatusUnauthorized
	case c.body.overflowed():
		return http.StatusRequestEntityTooLarge
	case c.body.failed() && ctx.Err() == nil:
		return http.StatusBadRequest
	case outcome == fireflymoor.NotRun:
		return http.StatusServiceUnavailable
	case ctx.Err() != nil:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
