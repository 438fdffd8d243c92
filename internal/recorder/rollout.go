package recorder

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

var (
	errOtherRollout = errors.New("recorder: another roll-out of the service is running")
	errNotRunning   = errors.New("recorder: no such roll-out is running")
	errSuperseded   = errors.New("recorder: another decision came first")
	errNoTeam       = errors.New("recorder: the team has no configuration")
)

// isRollout reports whether a change is of a roll-out and not of the inputs.
func isRollout(c *messenger.Change) bool {
	return c.GetRolloutOrder() != nil || c.GetRolloutDecision() != nil
}

// applyRollout applies an order or a decision. The outcome of an order or an abort is
// kept, so that a resend gets it. Decisions are not: their steps make them take effect
// once, and they would displace the outcomes of operators' changes.
func (r *Recorder) applyRollout(c *messenger.Change, record *messenger.ChangeRecord) (*messenger.ChangeRecord, bool) {
	rollouts := r.rollouts[c.GetTeam()]
	i := slices.IndexFunc(rollouts, func(known fireflymoor.Rollout) bool {
		return known.Service == rolloutService(c)
	})
	current := fireflymoor.Rollout{}
	if i >= 0 {
		current = rollouts[i]
	}
	next, changed, err := nextRollout(current, c)
	if err == nil && changed {
		next.Number = r.manifest.Number() + 1
		err = r.acceptRollouts(c.GetTeam(), withRollout(rollouts, i, next))
	}
	record.Number = next.Number
	if err != nil {
		record.Conflict = true
		record.ActualParent = r.numbers[c.GetTeam()]
		record.Number = 0
	}
	hash := r.manifest.Hash()
	record.Hash = hash[:]
	if c.GetRolloutOrder() != nil || c.GetRolloutDecision().GetAbort() {
		r.addRecord(record)
	}
	return record, err == nil && changed
}

// rolloutService returns the service of an order or a decision.
func rolloutService(c *messenger.Change) string {
	if order := c.GetRolloutOrder(); order != nil {
		return order.GetService()
	}
	return c.GetRolloutDecision().GetService()
}

// withRollout returns a copy of the roll-outs in which next replaces the one at index
// i, or is added if i is negative.
func withRollout(rollouts []fireflymoor.Rollout, i int, next fireflymoor.Rollout) []fireflymoor.Rollout {
	changed := slices.Clone(rollouts)
	if i < 0 {
		return append(changed, next)
	}
	changed[i] = next
	return changed
}

// acceptRollouts creates the next version, in which only the team's roll-outs change.
func (r *Recorder) acceptRollouts(team string, rollouts []fireflymoor.Rollout) error {
	entry, ok := r.manifest.Team(team)
	if !ok {
		return errNoTeam
	}
	text, err := fireflymoor.EncodeRollouts(rollouts)
	if err != nil {
		return err
	}
	entry.Rollouts = fireflymoor.HashOf(text)
	inputs := r.inputs[team]
	inputs.Rollouts = text
	r.inputs[team] = inputs
	r.rollouts[team] = rollouts
	r.manifest = r.manifest.With(entry)
	return nil
}

// nextRollout returns the roll-out after an order or a decision, and whether it
// differs from the current one, which is zero if none was ordered before.
func nextRollout(current fireflymoor.Rollout, c *messenger.Change) (fireflymoor.Rollout, bool, error) {
	at := time.UnixMilli(c.GetUnixMilliseconds()).UTC()
	if order := c.GetRolloutOrder(); order != nil {
		return applyOrder(current, order, at)
	}
	return applyDecision(current, c.GetRolloutDecision(), at)
}

// applyOrder starts a roll-out, unless the order is a resend of the one before. A
// resend of an order that was rolled back is recognized until the end of its duration:
// a late one must not start a bad version again.
func applyOrder(current fireflymoor.Rollout, order *messenger.RolloutOrder, at time.Time) (fireflymoor.Rollout, bool, error) {
	duration := time.Duration(order.GetDurationMilliseconds()) * time.Millisecond
	same := current.Version == order.GetVersion() && current.Duration == duration
	switch {
	case current.State == fireflymoor.RolloutRunning && same,
		current.State == fireflymoor.RolloutCompleted && current.Version == order.GetVersion(),
		current.State == fireflymoor.RolloutRolledBack && same && at.Before(current.Started.Add(duration)):
		return current, false, nil
	case current.State == fireflymoor.RolloutRunning:
		return current, false, errOtherRollout
	}
	next := fireflymoor.Rollout{
		Service:  order.GetService(),
		Version:  order.GetVersion(),
		Previous: previousVersions(current, order),
		Started:  at,
		Duration: duration,
		State:    fireflymoor.RolloutRunning,
		Decided:  at,
	}
	if isOnlyVersion(current, order) {
		next.State = fireflymoor.RolloutCompleted
		next.Share = 1
		next.Reason = "the version was the only one before the order"
	}
	return next, true, nil
}

// previousVersions returns the versions that are allowed beside the one of a new
// order: those that were allowed before or, if these are not known, those that the
// service's targets had. A version that was rolled back is none of them.
func previousVersions(current fireflymoor.Rollout, order *messenger.RolloutOrder) []string {
	allowed := current.Allowed()
	if len(allowed) == 0 {
		allowed = slices.Clone(order.GetSeen())
		slices.Sort(allowed)
	}
	rolledBack := current.State == fireflymoor.RolloutRolledBack
	return slices.DeleteFunc(slices.Clone(allowed), func(version string) bool {
		return version == order.GetVersion() || rolledBack && version == current.Version
	})
}

// isOnlyVersion reports whether the version of an order is the only one that was
// allowed before or, if that is not known, that targets had. There is nothing to
// compare it with then, and no other target could take the calls.
func isOnlyVersion(current fireflymoor.Rollout, order *messenger.RolloutOrder) bool {
	known := current.Allowed()
	if len(known) == 0 {
		known = order.GetSeen()
	}
	return len(known) > 0 && !slices.ContainsFunc(known, func(version string) bool {
		return version != order.GetVersion()
	})
}

// applyDecision applies a decision to the running roll-out that it was made on. An
// abort applies to whichever roll-out of the service is running.
func applyDecision(current fireflymoor.Rollout, d *messenger.RolloutDecision, at time.Time) (fireflymoor.Rollout, bool, error) {
	switch {
	case d.GetAbort() && current.State == fireflymoor.RolloutRolledBack:
		return current, false, nil
	case current.State != fireflymoor.RolloutRunning:
		return current, false, errNotRunning
	case !d.GetAbort() && current.Started.UnixMilli() != d.GetStarted():
		return current, false, errNotRunning
	case !d.GetAbort() && current.Step+1 != d.GetStep():
		return current, false, errSuperseded
	}
	next := current
	next.State = fireflymoor.RolloutRolledBack
	if state := fireflymoor.RolloutState(d.GetState()); state == fireflymoor.RolloutRunning || state == fireflymoor.RolloutCompleted {
		next.State = state
	}
	next.Share = 0
	if share := d.GetShare(); share > 0 && next.State != fireflymoor.RolloutRolledBack {
		next.Share = min(share, 1)
	}
	next.Reason = d.GetReason()
	next.Step++
	next.Decided = at
	return next, true, nil
}

// Rollouts returns the last roll-out of each service of a team. The caller must not
// change them.
func (r *Recorder) Rollouts(team string) []fireflymoor.Rollout {
	return r.rollouts[team]
}

// Rollout returns the last roll-out of a service, and false if none was ordered.
func (r *Recorder) Rollout(team, service string) (fireflymoor.Rollout, bool) {
	for _, rollout := range r.rollouts[team] {
		if rollout.Service == service {
			return rollout, true
		}
	}
	return fireflymoor.Rollout{}, false
}
