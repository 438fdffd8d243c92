package caller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/quarantiner"
)

// reasonTrial is the reason of a pick of a trial target.
const reasonTrial = "trial of a request under which targets have ended"

// A Quarantine holds the requests under which targets have ended.
type Quarantine interface {
	// IsActive reports whether there are any.
	IsActive() bool
	// Admit decides about one try of a request.
	Admit(f quarantiner.Fingerprint, description string, now time.Time) quarantiner.Admission
	// Learn records ends of targets under a request, and whether it was sent after
	// another one was known.
	Learn(f quarantiner.Fingerprint, ends []uint64, repeat bool, now time.Time)
}

// quarantinedError is the error of a call whose request is refused.
type quarantinedError struct {
	request    quarantiner.Fingerprint
	retryAfter time.Duration
}

// Error implements error.
func (e *quarantinedError) Error() string {
	return fireflymoor.ErrQuarantined.Error() + ": request " + e.request.String()
}

// Is makes errors.Is match e with ErrQuarantined.
func (e *quarantinedError) Is(target error) bool {
	return target == fireflymoor.ErrQuarantined
}

// fingerprint returns the fingerprint of the call's request, or 0 if its body is not known
// yet.
func (c *call) fingerprint() quarantiner.Fingerprint {
	if c.requestPrint == 0 {
		prefix, ok := c.body.prefix(quarantiner.BodyPrefix)
		if !ok {
			return 0
		}
		request := *c.request
		request.ContentLength = c.body.length
		c.requestPrint = quarantiner.Of(&request, c.identity.tenant.Name, prefix)
	}
	return c.requestPrint
}

// checkQuarantine decides about a try of a call. It returns an error if the call must
// not be sent.
func (h *Handler) checkQuarantine(c *call, now time.Time) error {
	c.onTrial = false
	if h.options.Quarantine == nil || !h.options.Quarantine.IsActive() {
		c.request.Header.Del(annotator.Suspect)
		return nil
	}
	f := c.fingerprint()
	if f == 0 {
		return nil
	}
	admission := h.options.Quarantine.Admit(f, quarantiner.Describe(c.request), now)
	if admission.Decision == quarantiner.Refused {
		h.options.Metrics.quarantined.Inc()
		return &quarantinedError{
			request:    f,
			retryAfter: admission.RetryAfter,
		}
	}
	c.onTrial = admission.Decision == quarantiner.Trial
	annotator.SetSuspect(c.request.Header, uint64(f), admission.Ends)
	return nil
}

// recordEnd records that the target of a call has ended, so that this node knows it
// before the next try.
func (h *Handler) recordEnd(c *call, err error) {
	ended := &fireflymoor.EndedError{}
	if h.options.Quarantine == nil || !errors.As(err, &ended) {
		return
	}
	if f := c.fingerprint(); f != 0 {
		_, known := annotator.ReadSuspect(c.request.Header)
		h.options.Quarantine.Learn(f, []uint64{ended.End}, len(known) > 0, time.Now())
	}
}

// pickTrial returns the target at which a request on trial is tried, the same one at all
// nodes that know the same targets, whatever they have seen of them. Its node lets the
// request run once at a time.
func (c *call) pickTrial(targets []fireflymoor.Target) (fireflymoor.Pick, bool) {
	best := -1
	var highest quarantiner.Fingerprint
	for i := range targets {
		if weight := c.requestPrint.Weight(targets[i].ID); best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	if best < 0 {
		return fireflymoor.Pick{}, false
	}
	return fireflymoor.Pick{
		Target: targets[best],
		Reason: reasonTrial,
	}, true
}

// quarantineDelay returns how long the caller of a call that was not run for its
// quarantine should wait, or 0 if it was not run for another reason.
func quarantineDelay(ctx context.Context, err error) time.Duration {
	if !errors.Is(err, fireflymoor.ErrQuarantined) || ctx.Err() != nil {
		return 0
	}
	refused := &quarantinedError{}
	if errors.As(err, &refused) {
		return refused.retryAfter
	}
	return quarantiner.TrialRetryDelay
}
