package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/retrier"
)

const (
	// Callers that are refused should come back between these parts of their
	// route's objective: spread out, and soon enough to be answered within it.
	firstReturn = 10
	lastReturn  = 4
	// returnLeft is the part of the time left within which callers come back.
	returnLeft = 3
)

// mayRetry decides on one more try. A call that was not run may be tried
// elsewhere whatever its method; one that may have run only if it may repeat.
// Only tries that reached a target count as the route's and draw on the budget.
func (h *Handler) mayRetry(ctx context.Context, c *call, outcome fireflymoor.Outcome, err error) bool {
	repeatable := outcome == fireflymoor.NotRun || c.route.MayRepeat(c.request.Method)
	arrived := outcome == fireflymoor.Unknown || errors.Is(err, fireflymoor.ErrArrived)
	if arrived {
		c.arrivals++
	}
	tries := h.options.Pressure.Tries(c.service.Name, mostTries)
	switch {
	case errors.Is(err, errNoTarget), c.arrivals > c.route.Retries, len(c.tried) >= tries, !repeatable, ctx.Err() != nil:
		return false
	case !c.body.replayable():
		h.options.Log.Info().Str("call", c.id).Err(errBodySpent).Msg("caller: no retry")
		return false
	case arrived && !h.options.Budget.Spend(c.service.Name, c.view.Configuration().Limits().RetryBudget, time.Now()):
		h.options.Log.Info().Str("call", c.id).Str("service", c.service.Name).Err(errOverBudget).Msg("caller: no retry")
		return false
	}
	return retrier.Wait(ctx, c.arrivals, outcome) == nil
}

// comeBack returns when the caller of a call that was not run should come back,
// or 0.
func comeBack(ctx context.Context, route fireflymoor.Route, outcome fireflymoor.Outcome) time.Duration {
	at, ok := ctx.Deadline()
	if outcome != fireflymoor.NotRun || !ok {
		return 0
	}
	left := time.Until(at)
	if left <= 0 {
		return 0
	}
	latest := left / returnLeft
	if route.Objective > 0 {
		latest = min(latest, route.Objective/lastReturn)
	}
	earliest := latest * lastReturn / firstReturn
	return earliest + time.Duration(rand.Int64N(int64(latest-earliest)+1))
}

func failureStatus(ctx context.Context, c *call, outcome fireflymoor.Outcome) int {
	switch {
	case c.body.overflowed():
		return http.StatusRequestEntityTooLarge
	case outcome == fireflymoor.NotRun:
		return http.StatusServiceUnavailable
	case ctx.Err() != nil:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
