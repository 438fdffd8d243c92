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
	// historyLength is the number of changes in a history.
	historyLength = 100
	diffContext   = 3
)

// A Replica is what the API needs of a control replica.
type Replica interface {
	// Change has a change committed.
	Change(ctx context.Context, change *messenger.Change) (*messenger.ChangeRecord, error)
	// Read runs look where it may read the accepted state.
	Read(ctx context.Context, look func(accepted *recorder.Recorder)) error
	// Status returns the view of the system.
	Status(ctx context.Context) (administrator.Status, error)
	// Targets returns all targets.
	Targets(ctx context.Context) ([]fireflymoor.Target, error)
	// Drain gives a node's targets no new work.
	Drain(ctx context.Context, node string) error
	// Confirm waits until this replica holds all that a quorum has accepted
	// before the call.
	Confirm(ctx context.Context) error
	// Bootstrap starts the replicated log.
	Bootstrap(ctx context.Context) error
	// Backup writes a copy of the disk and returns its path.
	Backup(ctx context.Context) (string, error)
}

// A Service is the administration API without its transport.
type Service struct {
	replica  Replica
	renderer fireflymoor.Renderer
}

// NewService returns a new Service.
func NewService(replica Replica, renderer fireflymoor.Renderer) *Service {
	return &Service{
		replica:  replica,
		renderer: renderer,
	}
}

// accepted returns what is accepted for a team.
func (s *Service) accepted(ctx context.Context, team string) (fireflymoor.TeamEntry, fireflymoor.Inputs, error) {
	entry := fireflymoor.TeamEntry{}
	inputs := fireflymoor.Inputs{}
	err := s.replica.Read(ctx, func(accepted *recorder.Recorder) {
		entry, _ = accepted.Manifest().Team(team)
		inputs, _ = accepted.Inputs(team)
	})
	return entry, inputs, err
}

func (s *Service) render(ctx context.Context, request administrator.ChangeRequest) (administrator.RenderResponse, error) {
	entry, before, err := s.accepted(ctx, request.Team)
	if err != nil {
		return administrator.RenderResponse{}, err
	}
	rendered, err := s.renderer.Render(request.Team, given(request, before))
	if err != nil {
		return administrator.RenderResponse{}, faulty(err)
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
	entry, inputs, err := s.accepted(ctx, name)
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
		return administrator.Team{}, faulty(err)
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
				Number: e.Number,
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
			Slots:   all[i].Slots,
			State:   all[i].State.String(),
		})
	}
	return targets, err
}

func invalid(step, reason string) *administrator.Error {
	return &administrator.Error{
		Code:   administrator.CodeInvalid,
		State:  administrator.NotTaken,
		Step:   step,
		Reason: reason,
	}
}

// faulty turns the faults of inputs into an error of the API.
func faulty(err error) error {
	var faults fireflymoor.Faults
	if !errors.As(err, &faults) {
		return errors.Wrap(err, "operator: render")
	}
	apiErr := invalid("render", faults.Error())
	apiErr.Faults = faults
	return apiErr
}

func changeError(err error) error {
	apiErr := &administrator.Error{
		Code:   administrator.CodeUnavailable,
		State:  administrator.Unknown,
		Step:   "accept",
		Reason: err.Error(),
	}
	switch {
	case errors.Is(err, controller.ErrNotTaken):
		apiErr.State = administrator.NotTaken
	case errors.Is(err, controller.ErrReused):
		apiErr.State = administrator.NotTaken
		apiErr.Code = administrator.CodeReused
	}
	return apiErr
}
