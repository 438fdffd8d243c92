// Package operator serves the administration API to operators.
package operator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/controller"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/recorder"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

const (
	// historyLength is the maximum number of changes in a history.
	historyLength = 100
	// diffContext is the number of context lines in a diff.
	diffContext = 3
)

// A Replica is the part of a control replica that the administration API uses.
type Replica interface {
	// Change submits a change to the replicated log and returns its outcome.
	Change(ctx context.Context, change *messenger.Change) (*messenger.ChangeRecord, error)
	// Read calls read with the accepted state of this replica. The state must not
	// be used after read has returned.
	Read(ctx context.Context, read func(accepted *recorder.Recorder)) error
	// Status returns the system's state as seen by this replica.
	Status(ctx context.Context) (administrator.Status, error)
	// Targets returns all targets.
	Targets(ctx context.Context) ([]fireflymoor.Target, error)
	// Drain stops new calls to the targets of a node.
	Drain(ctx context.Context, node string) error
	// Confirm waits until this replica holds every change that a quorum accepted
	// before the call.
	Confirm(ctx context.Context) error
	// Bootstrap starts the replicated log.
	Bootstrap(ctx context.Context) error
	// Backup writes a copy of the replica's stored state to a file and returns the
	// file's path.
	Backup(ctx context.Context) (string, error)
}

// A Service implements the administration API independently of the transport.
type Service struct {
	replica  Replica
	renderer fireflymoor.Renderer
}

// NewService returns a Service that acts on replica and renders with renderer.
func NewService(replica Replica, renderer fireflymoor.Renderer) *Service {
	return &Service{
		replica:  replica,
		renderer: renderer,
	}
}

// acceptedInputs returns the entry and the inputs that this replica has accepted
// for a team. They are zero if there are none. The number of the entry is that of the
// version that last changed the inputs, as a change names it as its parent, whatever
// happened to roll-outs since.
func (s *Service) acceptedInputs(ctx context.Context, team string) (fireflymoor.TeamEntry, fireflymoor.Inputs, error) {
	entry := fireflymoor.TeamEntry{}
	inputs := fireflymoor.Inputs{}
	err := s.replica.Read(ctx, func(accepted *recorder.Recorder) {
		entry, _ = accepted.Manifest().Team(team)
		entry.Number = accepted.Number(team)
		inputs, _ = accepted.Inputs(team)
	})
	return entry, inputs, err
}

func (s *Service) render(ctx context.Context, request administrator.ChangeRequest) (administrator.RenderResponse, error) {
	entry, current, err := s.acceptedInputs(ctx, request.Team)
	if err != nil {
		return administrator.RenderResponse{}, err
	}
	rendered, err := s.renderer.Render(request.Team, mergeInputs(request, current))
	if err != nil {
		return administrator.RenderResponse{}, renderError(err)
	}
	team, err := s.team(ctx, request.Team)
	apiErr := &administrator.Error{}
	if err != nil && (!errors.As(err, &apiErr) || apiErr.Code != administrator.CodeNotFound) {
		return administrator.RenderResponse{}, err
	}
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(team.Rendered),
		B:        difflib.SplitLines(rendered.Text),
		FromFile: "in force",
		ToFile:   "rendered",
		Context:  diffContext,
	})
	if err != nil {
		return administrator.RenderResponse{}, errors.Wrap(err, "operator: diff")
	}
	return administrator.RenderResponse{
		Rendered: rendered.Text,
		Diff:     diff,
		Parent:   entry.Number,
	}, nil
}

func (s *Service) team(ctx context.Context, name string) (administrator.Team, error) {
	entry, inputs, err := s.acceptedInputs(ctx, name)
	if err != nil {
		return administrator.Team{}, err
	}
	if entry.Number == 0 {
		return administrator.Team{}, &administrator.Error{
			Code:   administrator.CodeNotFound,
			State:  administrator.NotTaken,
			Step:   "team",
			Reason: "nothing is accepted for team " + name,
		}
	}
	rendered, err := s.renderer.Render(name, inputs)
	if err != nil {
		return administrator.Team{}, renderError(err)
	}
	return administrator.Team{
		Team:     name,
		Number:   entry.Number,
		Template: inputs.Template,
		Values:   inputs.Values,
		Rendered: rendered.Text,
	}, nil
}

func (s *Service) teams(ctx context.Context) ([]administrator.Team, error) {
	teams := []administrator.Team{}
	err := s.replica.Read(ctx, func(accepted *recorder.Recorder) {
		for _, e := range accepted.Manifest().Teams() {
			teams = append(teams, administrator.Team{
				Team:   e.Team,
				Number: accepted.Number(e.Team),
			})
		}
	})
	return teams, err
}

func (s *Service) history(ctx context.Context) ([]administrator.Record, error) {
	records := []administrator.Record{}
	err := s.replica.Read(ctx, func(accepted *recorder.Recorder) {
		for _, r := range accepted.Records(historyLength) {
			records = append(records, administrator.Record{
				ChangeID: r.GetId(),
				Team:     r.GetTeam(),
				Number:   r.GetNumber(),
				Operator: r.GetOperator(),
				Time:     time.UnixMilli(r.GetUnixMilliseconds()).UTC().Format(time.RFC3339),
				Conflict: r.GetConflict(),
				Rollout:  r.GetRollout(),
			})
		}
	})
	return records, err
}

func (s *Service) targets(ctx context.Context) ([]administrator.Target, error) {
	all, err := s.replica.Targets(ctx)
	targets := make([]administrator.Target, 0, len(all))
	for i := range all {
		targets = append(targets, administrator.Target{
			ID:      all[i].ID,
			Service: all[i].Service,
			Team:    all[i].Team,
			Zone:    all[i].Zone,
			Node:    all[i].Node,
			Version: all[i].Version,
			Slots:   all[i].Slots,
			State:   all[i].State.String(),
		})
	}
	return targets, err
}

func invalidError(step, reason string) *administrator.Error {
	return &administrator.Error{
		Code:   administrator.CodeInvalid,
		State:  administrator.NotTaken,
		Step:   step,
		Reason: reason,
	}
}

// renderError converts an error of the renderer to an API error with the faults of
// the inputs. It wraps any other error.
func renderError(err error) error {
	var faults fireflymoor.Faults
	if !errors.As(err, &faults) {
		return errors.Wrap(err, "operator: render")
	}
	apiErr := invalidError("render", faults.Error())
	apiErr.Faults = faults
	return apiErr
}

// changeError converts an error of Replica.Change to an API error. The state is
// Unknown unless the change is known not to have been taken.
func changeError(err error) error {
	apiErr := &administrator.Error{
		Code:   administrator.CodeUnavailable,
		State:  administrator.Unknown,
		Step:   "accept",
		Reason: err.Error(),
	}
	switch {
	case errors.Is(err, controller.ErrNotSent):
		apiErr.State = administrator.NotTaken
	case errors.Is(err, controller.ErrReused):
		apiErr.State = administrator.NotTaken
		apiErr.Code = administrator.CodeReused
	}
	return apiErr
}
