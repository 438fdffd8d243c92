package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/receiver"
)

// minPatience is added to a route's objective to tell a caller that gave up
// early from one whose call got no answer.
const minPatience = 50 * time.Millisecond

// failed counts a failure against a target, unless the caller itself gave up
// early or the target's node was merely busy. A caller that gave up after the
// objective had good reason to.
func (h *Handler) failed(ctx context.Context, c *call, target fireflymoor.Target, outcome fireflymoor.Outcome, err error) {
	if errors.Is(ctx.Err(), context.Canceled) && time.Since(c.began) < c.route.Objective+minPatience {
		return
	}
	h.options.Metrics.failed.WithLabelValues(outcome.String()).Inc()
	switch {
	case errors.Is(err, fireflymoor.ErrDraining):
		h.options.Ejector.Left(target.ID, time.Now())
		return
	case errors.Is(err, fireflymoor.ErrBusy):
		h.options.Tracker.Refused(target, time.Now())
		return
	}
	h.options.Ejector.Failed(target.ID, time.Now())
}

// pass passes a target's answer on.
func (h *Handler) pass(ctx context.Context, w http.ResponseWriter, c *call, response *http.Response) {
	if c.grant != nil {
		h.answerOnce(ctx, w, c, response)
		return
	}
	h.answer(w, c, response)
}

func (h *Handler) answer(w http.ResponseWriter, c *call, response *http.Response) {
	defer func() {
		_ = response.Body.Close()
	}()
	h.options.Metrics.observe(fireflymoor.Answered, c.began)
	labeler.CleanHop(response.Header)
	response.Header.Del(labeler.CallID)
	response.Header.Del(labeler.Outcome)
	h.options.Dialect.WriteAnswer(response.Header, c.id)
	receiver.Copy(w, response)
}

func (h *Handler) refuse(w http.ResponseWriter, id string, status int, outcome fireflymoor.Outcome, reason string) {
	h.refuseLater(w, id, status, outcome, reason, 0)
}

// refuseLater refuses a call whose caller should come back after a time.
func (h *Handler) refuseLater(w http.ResponseWriter, id string, status int, outcome fireflymoor.Outcome, reason string, after time.Duration) {
	h.options.Metrics.ended.WithLabelValues(outcome.String()).Inc()
	if h.options.Decisions {
		h.options.Log.Info().Str("call", id).Int("status", status).
			Stringer("outcome", outcome).Str("reason", reason).Msg("caller: refused")
	}
	refusal := fireflymoor.Refusal{
		Status:  status,
		Outcome: outcome,
		Reason:  receiver.OneLine(reason),

		RetryAfter: after,
	}
	h.options.Dialect.WriteRefusal(w.Header(), refusal)
	http.Error(w, outcome.String()+": "+refusal.Reason, status)
}
