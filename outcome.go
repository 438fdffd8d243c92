package fireflymoor

import (
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrBusy marks the refusal of a target's node that is reached and well.
	ErrBusy = errors.New("refused by the target's node")
	// ErrArrived marks the refusal of a target that the call had reached.
	ErrArrived = errors.New("refused by the target")
	// ErrDraining marks the refusal of a target that gets no new work.
	ErrDraining = errors.New("the target gets no new work")
)

// A BusyError says that a target's node refused a call, as it could not begin
// in time. It is ErrBusy.
type BusyError struct {
	// Wait is how long calls wait there at present.
	Wait time.Duration
}

// Error implements error.
func (e *BusyError) Error() string {
	return ErrBusy.Error() + ": calls wait for " + e.Wait.String()
}

// Is has errors.Is take it for ErrBusy.
func (e *BusyError) Is(target error) bool {
	return target == ErrBusy
}

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
