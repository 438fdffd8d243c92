package operator

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/google/uuid"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
)

const (
	// changeTimeout bounds the wait for the outcome of a change.
	changeTimeout = 5 * time.Second
	// parentWaitTimeout bounds the wait until this replica holds the parent of a
	// partial change. parentPollInterval is the time between two checks.
	parentWaitTimeout  = time.Second
	parentPollInterval = 20 * time.Millisecond
)

// change submits a change to the replicated log and returns its outcome. Inputs
// that the request omits, or that equal the parent's, are not written to the
// log. The replicas take them from the parent: a change is accepted only on its
// parent, so that these inputs are the same at every replica.
func (s *Service) change(ctx context.Context, request administrator.ChangeRequest) (administrator.ChangeResponse, error) {
	if request.ChangeID == "" {
		request.ChangeID = uuid.NewString()
	}
	if !parser.ValidName(request.Team) {
		return administrator.ChangeResponse{}, invalidError("team", "the team's name is not in kebab case")
	}
	entry, current, err := s.awaitParent(ctx, request)
	if err != nil {
		return administrator.ChangeResponse{}, err
	}
	change := newChange(ctx, request, entry, current)
	if !stale(request, entry) {
		rendered, err := s.renderer.Render(request.Team, mergeInputs(request, current))
		if err != nil {
			return administrator.ChangeResponse{}, renderError(err)
		}
		hash := fireflymoor.HashOf(rendered.Text)
		change.RenderedHash = hash[:]
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	record, err := s.replica.Change(ctx, change)
	if err != nil {
		return administrator.ChangeResponse{}, changeError(err)
	}
	return toResponse(record)
}

// toResponse returns the outcome of a change as a response, or as an error if the
// change was refused because its parent is not the accepted version.
func toResponse(record *messenger.ChangeRecord) (administrator.ChangeResponse, error) {
	if record.GetConflict() {
		return administrator.ChangeResponse{}, &administrator.Error{
			Code:   administrator.CodeConflict,
			State:  administrator.NotTaken,
			Step:   "accept",
			Reason: "the team's version is not the parent; render again on it",
			Parent: record.GetActualParent(),
		}
	}
	return administrator.ChangeResponse{
		Number: record.GetNumber(),
		Hash:   hex.EncodeToString(record.GetHash()),
	}, nil
}

// partial reports whether a request omits the template or the values, so that the
// parent's are kept.
func partial(request administrator.ChangeRequest) bool {
	return request.Template == nil || request.Values == nil
}

// stale reports whether a partial request is based on a version that has been
// replaced. The inputs that it omits are no longer available, so it is not
// rendered: its outcome is either that of an earlier request with the same change
// ID or a conflict.
func stale(request administrator.ChangeRequest, entry fireflymoor.TeamEntry) bool {
	return partial(request) && entry.Number > request.Parent
}

// awaitParent returns what this replica has accepted for the request's team. If
// the request is partial, awaitParent first waits until this replica holds the
// parent or a newer version, and fails after parentWaitTimeout.
func (s *Service) awaitParent(ctx context.Context, request administrator.ChangeRequest) (fireflymoor.TeamEntry, fireflymoor.Inputs, error) {
	ctx, cancel := context.WithTimeout(ctx, parentWaitTimeout)
	defer cancel()
	for {
		entry, current, err := s.acceptedInputs(ctx, request.Team)
		if err != nil || !partial(request) || entry.Number >= request.Parent {
			return entry, current, err
		}
		select {
		case <-ctx.Done():
			return entry, current, &administrator.Error{
				Code:   administrator.CodeUnavailable,
				State:  administrator.NotTaken,
				Step:   "accept",
				Reason: "this replica does not hold the parent, which the change leaves in part as it is",
			}
		case <-time.After(parentPollInterval):
		}
	}
}

// newChange returns the message for a request, given the team's accepted entry
// and inputs at this replica.
func newChange(ctx context.Context, request administrator.ChangeRequest, entry fireflymoor.TeamEntry, current fireflymoor.Inputs) *messenger.Change {
	change := &messenger.Change{
		Id:               request.ChangeID,
		Team:             request.Team,
		Parent:           request.Parent,
		Operator:         operatorOf(ctx),
		UnixMilliseconds: time.Now().UnixMilli(),
	}
	parentHeld := entry.Number == request.Parent && entry.Number > 0
	change.Template, change.TemplateHash, change.KeepTemplate = encodeInput(request.Template, current.Template, parentHeld)
	change.Values, change.ValuesHash, change.KeepValues = encodeInput(request.Values, current.Values, parentHeld)
	return change
}

// encodeInput returns the fields of a change message for one input: its content,
// its hash, and whether the parent's input is kept. The hash is nil if the request
// omits the input. The content is empty if the parent's input is kept.
func encodeInput(text *string, current string, parentHeld bool) (content string, hash []byte, keep bool) {
	if text == nil {
		return "", nil, true
	}
	sum := fireflymoor.HashOf(*text)
	if parentHeld && *text == current {
		return "", sum[:], true
	}
	return *text, sum[:], false
}

// mergeInputs returns the current inputs, overridden by those that the request
// gives.
func mergeInputs(request administrator.ChangeRequest, current fireflymoor.Inputs) fireflymoor.Inputs {
	if request.Template != nil {
		current.Template = *request.Template
	}
	if request.Values != nil {
		current.Values = *request.Values
	}
	return current
}
