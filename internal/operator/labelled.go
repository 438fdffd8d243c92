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

// confirmTimeout bounds the wait for the confirmation by a quorum before a read.
const confirmTimeout = 800 * time.Millisecond

// A LabelledChange is a full configuration of a team whose operator assigns its
// own version numbers, called labels.
type LabelledChange struct {
	// ID identifies the change. A resend of the change has the same ID.
	ID string
	// Team is the team whose configuration it is.
	Team string
	// Label is the operator's number for the configuration. It must be greater
	// than the accepted label.
	Label uint64
	// ParentLabel is the label of the version that the change is based on, or 0
	// for the first version.
	ParentLabel uint64
	// Inputs are the template and the values.
	Inputs fireflymoor.Inputs
	// Verify returns an error if the rendered form is not what the operator has sent. It
	// may be nil.
	Verify func(fireflymoor.Configuration) error
	// Private is a text that only the control replicas keep with the configuration,
	// such as secrets that the operator reads back.
	Private string
}

// Accept submits a labelled change to the replicated log and returns its outcome.
// If the change was refused, the error is an *administrator.Error, with
// CodeConflict if the accepted version is not the parent.
func (s *Service) Accept(ctx context.Context, labelled LabelledChange) (administrator.ChangeResponse, error) {
	rendered, err := s.renderer.Render(labelled.Team, labelled.Inputs)
	if err != nil {
		return administrator.ChangeResponse{}, renderError(err)
	}
	if labelled.Verify != nil {
		if err := labelled.Verify(rendered.Configuration); err != nil {
			return administrator.ChangeResponse{}, invalidError("accept", err.Error())
		}
	}
	change := labelled.toMessage(fireflymoor.HashOf(rendered.Text))
	if err := s.packTemplate(ctx, change); err != nil {
		return administrator.ChangeResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	record, err := s.replica.Change(ctx, change)
	if err != nil {
		return administrator.ChangeResponse{}, changeError(err)
	}
	return toResponse(record)
}

// toMessage returns the change as a message, with the hash of its rendered form.
func (l LabelledChange) toMessage(rendered fireflymoor.Hash) *messenger.Change {
	template := fireflymoor.HashOf(l.Inputs.Template)
	values := fireflymoor.HashOf(l.Inputs.Values)
	return &messenger.Change{
		Id:               l.ID,
		Team:             l.Team,
		Label:            l.Label,
		ParentLabel:      l.ParentLabel,
		Template:         l.Inputs.Template,
		Values:           l.Inputs.Values,
		Private:          l.Private,
		TemplateHash:     template[:],
		ValuesHash:       values[:],
		RenderedHash:     rendered[:],
		UnixMilliseconds: time.Now().UnixMilli(),
	}
}

// packTemplate replaces a change's template by a delta against the parent's
// template, if this replica holds the parent. Without the delta, each change
// would send a full configuration with hundreds of routes across zones to every
// replica.
func (s *Service) packTemplate(ctx context.Context, change *messenger.Change) error {
	label := uint64(0)
	inputs := fireflymoor.Inputs{}
	private := ""
	err := s.replica.Read(ctx, func(accepted *recorder.Recorder) {
		label = accepted.Label(change.GetTeam())
		inputs, _ = accepted.Inputs(change.GetTeam())
		private = accepted.Private(change.GetTeam())
	})
	if err != nil || label != change.GetParentLabel() || label == 0 {
		return err
	}
	packed, err := compressor.Pack(change.GetTemplate(), inputs.Template)
	if err != nil {
		return errors.Wrap(err, "operator: pack a change")
	}
	if change.GetPrivate() == private {
		change.Private = ""
		change.KeepPrivate = true
	}
	base := fireflymoor.HashOf(inputs.Template)
	change.Template = ""
	change.PackedTemplate = packed
	change.BaseHash = base[:]
	return nil
}

// A NewestConfiguration is the newest accepted configuration of a team.
type NewestConfiguration struct {
	// Label is the operator's number for it, or 0 if no labelled version of the team is
	// accepted.
	Label uint64
	// Configuration is the rendered form.
	Configuration fireflymoor.Configuration
	// Private is the text that only the control replicas keep with it.
	Private string
}

// NewestConfiguration returns a team's newest version, as confirmed by a quorum after
// the call began.
func (s *Service) NewestConfiguration(ctx context.Context, team string) (NewestConfiguration, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := s.replica.Confirm(ctx); err != nil {
		return NewestConfiguration{}, err
	}
	newest := NewestConfiguration{}
	inputs := fireflymoor.Inputs{}
	err := s.replica.Read(ctx, func(accepted *recorder.Recorder) {
		newest.Label = accepted.Label(team)
		newest.Private = accepted.Private(team)
		inputs, _ = accepted.Inputs(team)
	})
	if err != nil || newest.Label == 0 {
		return NewestConfiguration{}, err
	}
	rendered, err := s.renderer.Render(team, inputs)
	if err != nil {
		return NewestConfiguration{}, renderError(err)
	}
	newest.Configuration = rendered.Configuration
	return newest, nil
}
