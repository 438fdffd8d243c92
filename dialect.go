package fireflymoor

import (
	"net/http"
	"time"
)

// A CallHead is what a caller says of its call.
type CallHead struct {
	// ID names the call by its caller, or is empty.
	ID string
	// Parent is the id of the call in whose course a target makes this one, or
	// empty.
	Parent string
	// Left is how long the caller will wait, or 0 if it does not say.
	Left time.Duration
}

// A Dispatch is what a target is told of a call.
type Dispatch struct {
	// Target is the id by which the target announced itself.
	Target string
	// Left is the time that the call has left.
	Left time.Duration
	// Origin is the service of the instance where the call began, or empty.
	Origin string
}

// A Verdict is what a target's answer says of the call.
type Verdict struct {
	// Err says why the answer is not the call's own, or is nil.
	Err error
	// NotRun says that the target refused the call and will not run it.
	NotRun bool
}

// A Refusal is the answer to a call that gets none from a target.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Outcome says what is known of the call.
	Outcome Outcome
	// Reason says why, on one line.
	Reason string
	// RetryAfter is when the caller should come back, or 0.
	RetryAfter time.Duration
}

// A Dialect is how callers and targets write what they say beside a call's
// own content.
type Dialect interface {
	// Common returns the names, in canonical form, of the headers that most
	// calls and answers bear. Nodes send them to each other in short. The first
	// is the one with the id that callers give their calls.
	Common() []string
	// ReadCall reads the head of a caller's call. It drops from the header
	// what only the system may write.
	ReadCall(header http.Header) (CallHead, error)
	// WriteDispatch writes what a target is told. The header is that of the
	// request to it.
	WriteDispatch(header http.Header, dispatch Dispatch)
	// Own says whether an answer belongs to a request, by their headers.
	Own(request, answer http.Header) bool
	// ReadAnswer reads what a target answered to a request, and drops from
	// the answer what does not concern the caller.
	ReadAnswer(request, answer http.Header, status int) Verdict
	// WriteAnswer writes to the header of an answer that goes to a caller.
	WriteAnswer(header http.Header, id string)
	// WriteRefusal writes to the header of a refusal that goes to a caller.
	WriteRefusal(header http.Header, refusal Refusal)
}
