package fireflymoor

import (
	"net/http"
	"time"
)

// CallMetadata is the metadata that a caller sends with a call.
type CallMetadata struct {
	// ID is the id that the caller gave the call, or empty.
	ID string
	// Parent is the id of the call that a target was serving when it made this
	// call, or empty.
	Parent string
	// TimeLeft is how long the caller will wait, or 0 if that is not given.
	TimeLeft time.Duration
	// Key is the key that the caller sent, or empty if it sent none or several. It
	// must not be logged.
	Key string
}

// A Dispatch is the metadata that is sent to a target with a call.
type Dispatch struct {
	// Target is the id in the target's announcement.
	Target string
	// TimeLeft is the time until the call's deadline, or 0 if it has none.
	TimeLeft time.Duration
	// Origin is the service of the instance where the call originated, or empty.
	Origin string
	// Tenant is the name of the tenant on whose behalf the call is made, or empty.
	Tenant string
}

// A Verdict is what a target's response implies for the call.
type Verdict struct {
	// Err is why the response does not belong to the call, or nil.
	Err error
	// NotRun reports whether the target refused the call and will not run it.
	NotRun bool
	// Load is the load that the target reports, or the zero value.
	Load TargetLoad
}

// A Notice is what a target states about itself in a response.
type Notice struct {
	// Limit is how many calls per second the target accepts from all nodes together,
	// or 0 if it states no limit.
	Limit float64
	// InvalidLimit is the text of a limit that cannot be read, or empty.
	InvalidLimit string
	// Leaving is set if the target is about to end and accepts no new calls.
	Leaving bool
}

// A Refusal is the response to a call that has no response from a target.
type Refusal struct {
	// Status is the HTTP status code.
	Status int
	// Outcome is what is known about the call.
	Outcome Outcome
	// Reason is why the call was refused, on one line.
	Reason string
	// RetryAfter is how long the caller should wait before it retries, or 0.
	RetryAfter time.Duration
}

// A Dialect reads and writes the metadata of calls in HTTP headers, in the form
// that callers and targets use.
type Dialect interface {
	// CommonHeaders returns the names, in canonical form, of the headers that most
	// calls and responses carry. Nodes abbreviate them in messages to each other.
	// The first one carries the id that a caller gives its call.
	CommonHeaders() []string
	// ReadCall reads the metadata of a caller's call. It removes from the header
	// the fields that only the system may write.
	ReadCall(header http.Header) (CallMetadata, error)
	// RemoveKey removes the fields of a call's header that can carry a key. It is not
	// called without tenants, as callers may then use the fields for other purposes.
	RemoveKey(header http.Header)
	// WriteDispatch writes the metadata for a target to the header of the request
	// to it.
	WriteDispatch(header http.Header, dispatch Dispatch)
	// SameCall reports whether a response belongs to a request, by their headers.
	SameCall(request, response http.Header) bool
	// ReadResponse reads a target's response to a request. It removes from the
	// response header the fields that are not meant for the caller.
	ReadResponse(request, response http.Header, status int) Verdict
	// ReadNotice reads what a target states about itself in the header of a response.
	ReadNotice(response http.Header) Notice
	// WriteResponse writes the metadata of the call with the id to the header of a
	// response to a caller.
	WriteResponse(header http.Header, id string)
	// WriteRefusal writes a refusal to the header of a response to a caller.
	WriteRefusal(header http.Header, refusal Refusal)
}
