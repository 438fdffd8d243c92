package operator

import (
	"context"
	"time"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/recorder"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

// confirmTimeout bounds the wait for a quorum before a read.
const confirmTimeout = 800 * time.Millisecond

// A LabelledChange is a whole configuration whose operator numbers versions by
// labels of its own.
type LabelledChange struct {
	// ID is the same for each resend of the change, and for no other change.
	ID string
	// Team is the team whose configuration it is.
	Team string
	// Label is the operator's number for it. It must be above the accepted
	// one.
	Label uint64
	// ParentLabel is the label of the version that it builds on, 0 for the
	// first.
	ParentLabel uint64
	// Inputs are the template and values.
	Inputs fireflymoor.Inputs
}

// Accept has a labelled change committed. The error is an
// *administrator.Error, with CodeConflict if another version is accepted.
func (s *Service) Accept(ctx context.Context, labelled LabelledChange) (administrator.ChangeResponse, error) {
	rendered, err := s.renderer.Render(labelled.Team, labelled.Inputs)
	if err != nil {
		return administrator.ChangeResponse{}, faulty(err)
	}
	hash := fireflymoor.HashOf(rendered.Text)
	templateHash := fireflymoor.HashOf(labelled.Inputs.Template)
	valuesHash := fireflymoor.HashOf(labelled.Inputs.Values)
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	record, err := s.replica.Change(ctx, &messenger.Change{
		Id:               labelled.ID,
		Team:             labelled.Team,
		Label:            labelled.Label,
		ParentLabel:      labelled.ParentLabel,
		Template:         labelled.Inputs.Template,
		Values:           labelled.Inputs.Values,
		TemplateHash:     templateHash[:],
		ValuesHash:       valuesHash[:],
		RenderedHash:     hash[:],
		UnixMilliseconds: time.Now().UnixMilli(),
	})
	if err != nil {
		return administrator.ChangeResponse{}, changeError(err)
	}
	return response(record)
}

// Newest returns a team's newest configuration and its label, which a quorum
// has confirmed after the call began.
func (s *Service) Newest(ctx context.Context, team string) (uint64, fireflymoor.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := s.replica.Confirm(ctx); err != nil {
		return 0, fireflymoor.Configuration{}, err
	}
	label := uint64(0)
	inputs := fireflymoor.Inputs{}
	err := s.replica.Read(ctx, func(accepted *recorder.Recorder) {
		label = accepted.Label(team)
		inputs, _ = accepted.Inputs(team)
	})
	if err != nil || label == 0 {
		return 0, fireflymoor.Configuration{}, err
	}
	rendered, err := s.renderer.Render(team, inputs)
	if err != nil {
		return 0, fireflymoor.Configuration{}, faulty(err)
	}
	return label, rendered.Configuration, nil
}
