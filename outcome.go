package fireflymoor

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrCallerLeft marks a call that was not sent to a target because its caller has
	// left.
	ErrCallerLeft = errors.New("the caller has left")
	// ErrBusy marks a refusal by a target's node that is reachable and healthy.
	ErrBusy = errors.New("refused by the target's node")
	// ErrRefusedByTarget marks a refusal by the target itself, after the call
	// reached it.
	ErrRefusedByTarget = errors.New("refused by the target")
	// ErrQuarantined marks a refusal of a call because targets have ended under the same
	// request.
	ErrQuarantined = errors.New("targets have ended under this request")
	// ErrDraining marks a refusal because the target is draining and gets no new
	// work.
	ErrDraining = errors.New("the target gets no new work")
)

// A BusyError is the error of a call that a target's node refused because the
// call could not begin in time. It matches ErrBusy.
type BusyError struct {
	// Wait is how long calls currently wait at the node.
	Wait time.Duration
	// Report is the load of the target, or nil if the node does not report it.
	Report *LoadReport
	// Limit is the limit that the target states, in calls per second, or 0 if it states
	// none.
	Limit float64
	// Neighbor is the id of a target that the node knows to have a free slot, or empty.
	Neighbor string
}

// Error implements error.
func (e *BusyError) Error() string {
	text := ErrBusy.Error() + ": calls wait for " + e.Wait.String()
	if e.Limit > 0 {
		text += " at a limit of " + strconv.FormatFloat(e.Limit, 'g', -1, 64) + " a second"
	}
	return text
}

// Is makes errors.Is match e with ErrBusy.
func (e *BusyError) Is(target error) bool {
	return target == ErrBusy
}

// An EndedError is the error of a call whose target has ended.
type EndedError struct {
	// End identifies the end of the target. It is the same for all calls that the
	// target was serving.
	End uint64
}

// Error implements error.
func (e *EndedError) Error() string {
	return "the target has ended"
}

// An Outcome is the outcome of a call or of one try of it.
type Outcome int

// The outcomes of a call.
const (
	// NotRun means that the call did not run: no byte of it reached a target, or
	// the target refused it.
	NotRun Outcome = iota
	// Unknown means that the call may have run, but no complete response arrived.
	Unknown
	// Answered means that the target responded.
	Answered
)

// String returns the value of the outcome header.
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
