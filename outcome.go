package fireflymoor

import "github.com/cockroachdb/errors"

var (
	// ErrBusy marks the refusal of a target's node that is reached and well.
	ErrBusy = errors.New("refused by the target's node")
	// ErrDraining marks the refusal of a target that gets no new work.
	ErrDraining = errors.New("the target gets no new work")
)

// An Outcome says how a call, or one try of it, ended.
type Outcome int

// The outcomes of a call.
const (
	// NotRun says that no byte of the call reached a target.
	NotRun Outcome = iota
	// Unknown says that the call may have run and no whole answer came back.
	Unknown
	// Answered says that the target answered.
	Answered
)

// String returns the outcome as the outcome header carries it.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	case Answered:
		return "answered"
	}
	return "invalid"
}
