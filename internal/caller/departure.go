package caller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
)

// Stages of a call at which the departure of its caller is noticed.
const (
	// stageUnsent is before a try, and stageTry during a try or the wait for another.
	stageUnsent = "unsent"
	stageTry    = "try"
)

// recordDeparture counts and logs a call if it got no response, for the given reason,
// and its caller has left.
func (h *Handler) recordDeparture(ctx context.Context, c *call, reason error) {
	stage := stageTry
	switch {
	case errors.Is(reason, fireflymoor.ErrCallerLeft):
		stage = stageUnsent
	case !errors.Is(ctx.Err(), context.Canceled) || isConcluded(ctx):
		return
	}
	h.options.Metrics.departed.WithLabelValues(stage).Inc()
	if h.options.Decisions {
		h.options.Log.Info().Str("call", c.id).Str("stage", stage).Strs("tried", c.tried).
			Dur("age", time.Since(c.start)).Msg("caller: caller left")
	}
}
