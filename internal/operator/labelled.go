package operator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/compressor"
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
	change := labelled.change(fireflymoor.HashOf(rendered.Text))
	if err := s.pack(ctx, change); err != nil {
		return administrator.ChangeResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	record, err := s.replica.Change(ctx, change)
	if err != nil {
		return administrator.ChangeResponse{}, changeError(err)
	}
	return response(record)
}

func (l LabelledChange) change(rendered fireflymoor.Hash) *messenger.Change {
	template := fireflymoor.HashOf(l.Inputs.Template)
	values := fireflymoor.HashOf(l.Inputs.Values)
	return &messenger.Change{
		Id:               l.ID,
		Team:             l.Team,
		Label:            l.Label,
		ParentLabel:      l.ParentLabel,
		Template:         l.Inputs.Template,
		Values:           l.Inputs.Values,
		TemplateHash:     template[:],
		ValuesHash:       values[:],
		RenderedHash:     rendered[:],
		UnixMilliseconds: time.Now().UnixMilli(),
	}
}

// pack replaces a change's template by what differs from its parent's, if this
// replica holds the parent. A whole configuration with hundreds of routes would
// else cross the zones to every replica for each change.
func (s *Service) pack(ctx context.Context, change *messenger.Change) error {
	label := uint64(0)
	inputs := fireflymoor.Inputs{}
	err := s.replica.Read(ctx, func(accepted *recorder.Recorder) {
		label = accepted.Label(change.GetTeam())
		inputs, _ = accepted.Inputs(change.GetTeam())
	})
	if err != nil || label != change.GetParentLabel() || label == 0 {
		return err
	}
	packed, err := compressor.Pack(change.GetTemplate(), inputs.Template)
	if err != nil {
		return errors.Wrap(err, "operator: pack a change")
	}
	base := fireflymoor.HashOf(inputs.Template)
	change.Template = ""
	change.PackedTemplate = packed
	change.BaseHash = base[:]
	return nil
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
