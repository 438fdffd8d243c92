package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/receiver"
	"github.com/fireflymoor/fireflymoor/internal/sender"
)

// cancelGrace is added to a route's objective to distinguish a caller that
// canceled early from one whose call got no response in time.
const cancelGrace = 50 * time.Millisecond

// recordFailure counts a failure against a target, unless the caller canceled early or
// had left before the call was sent, its request could not be read, or the target's node
// was only busy. A caller that canceled after the objective had good reason to.
func (h *Handler) recordFailure(ctx context.Context, c *call, target fireflymoor.Target, outcome fireflymoor.Outcome, err error) {
	if c.canceledEarly(ctx) || errors.IsAny(err, fireflymoor.ErrCallerLeft, fireflymoor.ErrQuarantined) {
		return
	}
	if c.body.failed() && ctx.Err() == nil {
		return
	}
	h.options.Metrics.failedTries.WithLabelValues(outcome.String()).Inc()
	switch {
	case errors.Is(err, fireflymoor.ErrDraining):
		h.options.Ejector.RecordDraining(target.ID, time.Now())
		return
	case errors.Is(err, fireflymoor.ErrBusy):
		h.recordRefusal(c, target, err)
		return
	}
	h.options.Ejector.RecordFailure(target.ID, time.Now())
}

// canceledEarly reports whether the caller canceled the call before its objective had
// passed.
func (c *call) canceledEarly(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !isConcluded(ctx) && time.Since(c.start) < c.route.Objective+cancelGrace
}

// recordRefusal records the load that a refusal reported, and the target that it
// named. A target counts as full whatever its refusal reports, and as overloaded if it
// reports nothing.
func (h *Handler) recordRefusal(c *call, target fireflymoor.Target, err error) {
	busy := &fireflymoor.BusyError{}
	if errors.As(err, &busy) && busy.Limit > 0 {
		c.recordLimit(busy.Limit)
		h.options.Metrics.limited.Inc()
		h.options.Tracker.RecordLimit(target, busy.Limit, time.Now(), time.Now())
		h.options.Tracker.RecordLimitRefusal(target, busy.Wait, time.Now())
	}
	if !errors.As(err, &busy) || busy.Report == nil || c.view.Configuration().Limits().Balance <= fireflymoor.BalanceTwoChoices {
		h.options.Tracker.RecordRefusal(target, time.Now())
		return
	}
	report := *busy.Report
	report.Load = max(report.Load, 1)
	h.options.Tracker.RecordReport(target, report, time.Now())
	c.neighbor = busy.Neighbor
}

// recordLimit records the limit, in calls per second, of a target that refused the call.
func (c *call) recordLimit(rate float64) {
	interval := time.Duration(min(1/rate, time.Hour.Seconds()) * float64(time.Second))
	if c.limitInterval == 0 || interval < c.limitInterval {
		c.limitInterval = interval
	}
}

// respond sends a target's response to the caller.
func (h *Handler) respond(ctx context.Context, w http.ResponseWriter, c *call, response *http.Response) {
	if c.grant != nil {
		h.respondKeyed(ctx, w, c, response)
		return
	}
	h.writeResponse(w, c, response)
}

// writeResponse copies a response to the caller, with the call id and outcome
// that the dialect writes.
func (h *Handler) writeResponse(w http.ResponseWriter, c *call, response *http.Response) {
	defer func() {
		_ = response.Body.Close()
	}()
	h.options.Metrics.observe(fireflymoor.Answered, c.start)
	h.options.Metrics.countTenant(c.identity.tenant.Name, fireflymoor.Answered.String())
	annotator.RemoveHopByHop(response.Header)
	response.Header.Del(annotator.CallID)
	response.Header.Del(annotator.Outcome)
	h.options.Dialect.WriteResponse(response.Header, c.id)
	if !sender.IsSending(response) {
		c.abandonRequest(w)
	}
	receiver.Copy(w, c.request, response)
}

// abandonRequest makes the server respond without the rest of a long request, if it
// has not been read.
func (c *call) abandonRequest(w http.ResponseWriter) {
	if !c.body.isRead() {
		receiver.AbandonRequest(w, c.request)
	}
}

// callerReason returns the reason for a failed call that its caller is told. The
// error itself may name addresses of targets and sockets, and is only logged.
func callerReason(ctx context.Context, c *call, outcome fireflymoor.Outcome, err error) string {
	switch {
	case c.body.overflowed():
		return "the body is too large"
	case c.body.failed():
		return "the body cannot be read"
	case isConcluded(ctx):
		return errEnding.Error()
	case ctx.Err() != nil:
		return "the time for the call has passed"
	}
	for _, known := range []error{fireflymoor.ErrQuarantined, errWithdrawn, errNoTarget, errBodyNotReplayable, errRetryBudgetSpent, fireflymoor.ErrDraining, fireflymoor.ErrBusy} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	if outcome == fireflymoor.NotRun {
		return "no target was reached"
	}
	return "no complete answer was received from the target"
}

// refuse responds to a call that gets no response from a target.
func (h *Handler) refuse(w http.ResponseWriter, id string, status int, outcome fireflymoor.Outcome, reason string) {
	h.refuseWithDelay(w, id, status, outcome, reason, reason, 0)
}

// refuseCall responds to a call that was admitted and gets no response from a target.
func (h *Handler) refuseCall(w http.ResponseWriter, c *call, status int, outcome fireflymoor.Outcome, reason string) {
	h.options.Metrics.countTenant(c.identity.tenant.Name, outcome.String())
	h.refuse(w, c.id, status, outcome, reason)
}

// refuseWithDelay refuses a call with a reason and asks its caller to retry after
// retryAfter, if that is not 0. The detail is logged.
func (h *Handler) refuseWithDelay(w http.ResponseWriter, id string, status int, outcome fireflymoor.Outcome, reason, detail string, retryAfter time.Duration) {
	h.options.Metrics.calls.WithLabelValues(outcome.String()).Inc()
	if h.options.Decisions {
		h.options.Log.Info().Str("call", id).Int("status", status).
			Stringer("outcome", outcome).Str("reason", detail).Msg("caller: refused")
	}
	refusal := fireflymoor.Refusal{
		Status:  status,
		Outcome: outcome,
		Reason:  receiver.HeaderValue(reason),

		RetryAfter: retryAfter,
	}
	h.options.Dialect.WriteRefusal(w.Header(), refusal)
	http.Error(w, outcome.String()+": "+refusal.Reason, status)
}
