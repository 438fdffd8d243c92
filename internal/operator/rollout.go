package operator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/recorder"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

const (
	// MaxRollout is the maximum duration of a roll-out.
	MaxRollout = 24 * time.Hour
	// MaxVersion is the maximum length of a target's version, in bytes.
	MaxVersion = 128
	// rolloutTimeout bounds the wait until an order is durable. Operators wait 4 s.
	rolloutTimeout = 3 * time.Second
	// settleTime is the least time from the decision to complete a roll-out until it is
	// reported, so that calls in flight to old targets end before these are stopped.
	settleTime = time.Second
	// reportTimeout is the time after which a completed roll-out is reported even if
	// some node has not reported that the decision is in force: a node that cannot
	// report must not keep the old targets running.
	reportTimeout = 4 * time.Second
)

// A RolloutOrder is an operator's order to roll out a version of a service.
type RolloutOrder struct {
	// ID identifies the change in the log. If empty, a new ID is generated.
	ID string
	// Team is the team that the service belongs to.
	Team string
	// Service is the name of the service.
	Service string
	// Version is the new version.
	Version string
	// Duration is the time within which the roll-out is to end.
	Duration time.Duration
}

// check returns an error if the order is invalid, whatever is accepted.
func (o RolloutOrder) check() error {
	switch {
	case o.Service == "":
		return invalidError("rollout", "the service is empty")
	case o.Version == "" || len(o.Version) > MaxVersion:
		return invalidError("rollout", fmt.Sprintf("the version is not one of 1 to %d bytes", MaxVersion))
	case o.Duration < time.Millisecond || o.Duration > MaxRollout:
		return invalidError("rollout", "the duration is not above 0 and at most "+MaxRollout.String())
	}
	return nil
}

// StartRollout submits an order to the replicated log and returns the roll-out once
// the order is durable. The error is an *administrator.Error: with CodeInvalid or
// CodeNotFound if the order has a fault, with CodeConflict if another roll-out of the
// service is running, and with CodeUnavailable if it is not known to be durable.
func (s *Service) StartRollout(ctx context.Context, order RolloutOrder) (administrator.Rollout, error) {
	if err := order.check(); err != nil {
		return administrator.Rollout{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	if err := s.checkService(ctx, order.Team, order.Service); err != nil {
		return administrator.Rollout{}, err
	}
	seen, err := s.seenVersions(ctx, order.Team, order.Service)
	if err != nil {
		return administrator.Rollout{}, unavailableError(err)
	}
	change := newRolloutChange(ctx, order.ID, order.Team)
	change.RolloutOrder = &messenger.RolloutOrder{
		Service:              order.Service,
		Version:              order.Version,
		DurationMilliseconds: order.Duration.Milliseconds(),
		Seen:                 seen,
	}
	return s.submitRollout(ctx, change, order.Service, "another roll-out of the service is running")
}

// AbortRollout rolls back the running roll-out of a service. The error is that of
// StartRollout, with CodeConflict if no roll-out of the service is running.
func (s *Service) AbortRollout(ctx context.Context, id, team, service string) (administrator.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	change := newRolloutChange(ctx, id, team)
	change.RolloutDecision = &messenger.RolloutDecision{
		Service: service,
		State:   string(fireflymoor.RolloutRolledBack),
		Reason:  "aborted by an operator",
		Abort:   true,
	}
	return s.submitRollout(ctx, change, service, "no roll-out of the service is running")
}

func newRolloutChange(ctx context.Context, id, team string) *messenger.Change {
	if id == "" {
		id = uuid.NewString()
	}
	return &messenger.Change{
		Id:               id,
		Team:             team,
		Operator:         operatorOf(ctx),
		UnixMilliseconds: time.Now().UnixMilli(),
	}
}

// submitRollout submits a change of a roll-out, and returns the roll-out as this
// replica then holds it.
func (s *Service) submitRollout(ctx context.Context, change *messenger.Change, service, conflict string) (administrator.Rollout, error) {
	record, err := s.replica.Change(ctx, change)
	if err != nil {
		return administrator.Rollout{}, changeError(err)
	}
	if record.GetConflict() {
		return administrator.Rollout{}, &administrator.Error{
			Code:   administrator.CodeConflict,
			State:  administrator.NotTaken,
			Step:   "rollout",
			Reason: conflict,
		}
	}
	rollouts, err := s.readRollouts(ctx, change.GetTeam(), service)
	if err != nil {
		// The change is durable, whatever this replica can read.
		return administrator.Rollout{
			Team:    change.GetTeam(),
			Service: service,
			Version: change.GetRolloutOrder().GetVersion(),
			State:   administrator.RolloutRunning,
			Number:  record.GetNumber(),
		}, nil
	}
	return rollouts[0], nil
}

// checkService returns an error unless the newest configuration has the service.
func (s *Service) checkService(ctx context.Context, team, service string) error {
	confirmCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := s.replica.Confirm(confirmCtx); err != nil {
		return unavailableError(err)
	}
	entry, inputs, err := s.acceptedInputs(ctx, team)
	if err != nil {
		return unavailableError(err)
	}
	known := false
	if entry.Number > 0 {
		rendered, err := s.renderer.Render(team, inputs)
		if err != nil {
			return renderError(err)
		}
		_, known = rendered.Configuration.Service(service)
	}
	if !known {
		return notFoundError("the configuration has no service " + service)
	}
	return nil
}

// seenVersions returns the versions of the service's targets that this replica knows,
// sorted.
func (s *Service) seenVersions(ctx context.Context, team, service string) ([]string, error) {
	targets, err := s.replica.Targets(ctx)
	if err != nil {
		return nil, err
	}
	var versions []string
	for i := range targets {
		if targets[i].Service == service && targets[i].Team == team {
			versions = append(versions, targets[i].Version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions), nil
}

// Rollout returns the last roll-out of a service, as confirmed by a quorum after the
// call began. The error is an *administrator.Error, with CodeNotFound if none was
// ordered.
func (s *Service) Rollout(ctx context.Context, team, service string) (administrator.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := s.replica.Confirm(ctx); err != nil {
		return administrator.Rollout{}, unavailableError(err)
	}
	rollouts, err := s.readRollouts(ctx, team, service)
	if err != nil {
		return administrator.Rollout{}, err
	}
	return rollouts[0], nil
}

// rollouts returns the last roll-out of each service of a team, as this replica holds
// them.
func (s *Service) rollouts(ctx context.Context, team string) ([]administrator.Rollout, error) {
	rollouts, err := s.readRollouts(ctx, team, "")
	apiErr := &administrator.Error{}
	if errors.As(err, &apiErr) && apiErr.Code == administrator.CodeNotFound {
		return []administrator.Rollout{}, nil
	}
	return rollouts, err
}

// readRollouts returns the last roll-out of a service of a team, or of all of them if
// service is empty. It returns an error with CodeNotFound if there is none.
func (s *Service) readRollouts(ctx context.Context, team, service string) ([]administrator.Rollout, error) {
	var found []fireflymoor.Rollout
	err := s.replica.Read(ctx, func(accepted *recorder.Recorder) {
		for _, rollout := range accepted.Rollouts(team) {
			if service == "" || rollout.Service == service {
				found = append(found, rollout)
			}
		}
	})
	if err != nil {
		return nil, unavailableError(err)
	}
	if len(found) == 0 {
		return nil, notFoundError("no roll-out was ordered of service " + service)
	}
	rollouts := make([]administrator.Rollout, 0, len(found))
	for _, rollout := range found {
		state, err := s.visibleState(ctx, rollout, time.Now())
		if err != nil {
			return nil, unavailableError(err)
		}
		rollouts = append(rollouts, newRollout(team, rollout, state))
	}
	return rollouts, nil
}

// visibleState returns the state to report to operators. They stop old targets at once
// when they read that a roll-out is completed, so it is reported as running until the
// decision is in force at all live nodes and settleTime has passed, at the latest until
// reportTimeout has passed or the roll-out's duration ends.
func (s *Service) visibleState(ctx context.Context, rollout fireflymoor.Rollout, now time.Time) (fireflymoor.RolloutState, error) {
	age := now.Sub(rollout.Decided)
	ended := rollout.Step > 0 && !now.Before(rollout.Started.Add(rollout.Duration))
	if rollout.State != fireflymoor.RolloutCompleted || age >= reportTimeout || ended {
		return rollout.State, nil
	}
	status, err := s.replica.Status(ctx)
	if err != nil {
		return "", err
	}
	if age >= settleTime && status.InForce(rollout.Number) {
		return rollout.State, nil
	}
	return fireflymoor.RolloutRunning, nil
}

func newRollout(team string, rollout fireflymoor.Rollout, state fireflymoor.RolloutState) administrator.Rollout {
	return administrator.Rollout{
		Team:                 team,
		Service:              rollout.Service,
		Version:              rollout.Version,
		Previous:             rollout.Previous,
		State:                string(state),
		Share:                rollout.Share,
		Reason:               rollout.Reason,
		Started:              rollout.Started.Format(time.RFC3339Nano),
		DurationMilliseconds: rollout.Duration.Milliseconds(),
		Number:               rollout.Number,
	}
}

func notFoundError(reason string) *administrator.Error {
	return &administrator.Error{
		Code:   administrator.CodeNotFound,
		State:  administrator.NotTaken,
		Step:   "rollout",
		Reason: reason,
	}
}

// unavailableError converts an error of a replica, before anything was changed, to an
// API error.
func unavailableError(err error) *administrator.Error {
	return &administrator.Error{
		Code:   administrator.CodeUnavailable,
		State:  administrator.NotTaken,
		Step:   "rollout",
		Reason: err.Error(),
	}
}
