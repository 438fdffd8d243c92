package caller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Stages of a call at which the departure of its caller is noticed.
const (
	// stageUnsent is before a try, and stageTry during a try or the wait for another.
	stageUnsent = "unsent"
	stageTry    = "try"
)

// isCanceled reports whether a call was canceled because its caller has left.
func isCanceled(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}

// recordDeparture counts and logs a call whose caller has left before its response.
func (h *Handler) recordDeparture(c *call, stage string) {
	h.options.Metrics.departed.WithLabelValues(stage).Inc()
	if h.options.Decisions {
		h.options.Log.Info().Str("call", c.id).Str("stage", stage).Strs("tried", c.tried).
			Dur("age", time.Since(c.start)).Msg("caller: caller left")
	}
}
