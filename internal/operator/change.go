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
	// changeTimeout bounds the wait for a change's outcome.
	changeTimeout = 5 * time.Second
	// parentTimeout bounds the wait for the parent of a change that leaves
	// inputs as they are, and parentInterval the wait between looks.
	parentTimeout  = time.Second
	parentInterval = 20 * time.Millisecond
)

// change has a change committed. Inputs that the request leaves out, or that
// are the parent's, do not travel through the log: the change takes effect on
// its parent only, so that these are the same at every replica.
func (s *Service) change(ctx context.Context, request administrator.ChangeRequest) (administrator.ChangeResponse, error) {
	if request.ChangeID == "" {
		request.ChangeID = uuid.NewString()
	}
	if !parser.ValidName(request.Team) {
		return administrator.ChangeResponse{}, invalid("team", "the team's name is not in kebab case")
	}
	entry, before, err := s.parent(ctx, request)
	if err != nil {
		return administrator.ChangeResponse{}, err
	}
	change := newChange(ctx, request, entry, before)
	if !stale(request, entry) {
		rendered, err := s.renderer.Render(request.Team, given(request, before))
		if err != nil {
			return administrator.ChangeResponse{}, faulty(err)
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
	return response(record)
}

func response(record *messenger.ChangeRecord) (administrator.ChangeResponse, error) {
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

// partial says whether a request leaves inputs as they are.
func partial(request administrator.ChangeRequest) bool {
	return request.Template == nil || request.Values == nil
}

// stale says whether a request that leaves inputs as they are is based on a
// version that has been replaced. What it left out is not known any more, so
// it is not rendered: it can only get its first outcome again, or a conflict.
func stale(request administrator.ChangeRequest, entry fireflymoor.TeamEntry) bool {
	return partial(request) && entry.Number > request.Parent
}

// parent returns what is accepted for the request's team. A request that
// leaves inputs as they are waits until this replica holds its parent.
func (s *Service) parent(ctx context.Context, request administrator.ChangeRequest) (fireflymoor.TeamEntry, fireflymoor.Inputs, error) {
	ctx, cancel := context.WithTimeout(ctx, parentTimeout)
	defer cancel()
	for {
		entry, before, err := s.accepted(ctx, request.Team)
		if err != nil || !partial(request) || entry.Number >= request.Parent {
			return entry, before, err
		}
		select {
		case <-ctx.Done():
			return entry, before, &administrator.Error{
				Code:   administrator.CodeUnavailable,
				State:  administrator.NotTaken,
				Step:   "accept",
				Reason: "this replica does not hold the parent, which the change leaves in part as it is",
			}
		case <-time.After(parentInterval):
		}
	}
}

func newChange(ctx context.Context, request administrator.ChangeRequest, entry fireflymoor.TeamEntry, before fireflymoor.Inputs) *messenger.Change {
	change := &messenger.Change{
		Id:               request.ChangeID,
		Team:             request.Team,
		Parent:           request.Parent,
		Operator:         operatorOf(ctx),
		UnixMilliseconds: time.Now().UnixMilli(),
	}
	held := entry.Number == request.Parent && entry.Number > 0
	change.Template, change.TemplateHash, change.KeepTemplate = input(request.Template, before.Template, held)
	change.Values, change.ValuesHash, change.KeepValues = input(request.Values, before.Values, held)
	return change
}

// input returns an input as it stands in a change: its content, the hash of
// what was given, and whether the parent's stays.
func input(text *string, before string, held bool) (content string, hash []byte, keep bool) {
	if text == nil {
		return "", nil, true
	}
	sum := fireflymoor.HashOf(*text)
	if held && *text == before {
		return "", sum[:], true
	}
	return *text, sum[:], false
}

// given returns the inputs of a request on top of those before.
func given(request administrator.ChangeRequest, before fireflymoor.Inputs) fireflymoor.Inputs {
	if request.Template != nil {
		before.Template = *request.Template
	}
	if request.Values != nil {
		before.Values = *request.Values
	}
	return before
}
