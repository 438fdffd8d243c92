// Package administrator is the client of the administration API, and holds
// its requests and responses.
package administrator

import "github.com/fireflymoor/fireflymoor"

// States of a change, as an error says them.
const (
	// NotTaken changes had no effect and will have none.
	NotTaken = "not-taken"
	// Taken changes are in the log.
	Taken = "taken"
	// Unknown changes may have been taken; send them again under the same
	// change id to learn it.
	Unknown = "unknown"
)

// Codes of an error.
const (
	CodeInvalid      = "invalid"
	CodeConflict     = "conflict"
	CodeForbidden    = "forbidden"
	CodeNotFound     = "not-found"
	CodeUnavailable  = "unavailable"
	CodeReused       = "change-id-reused"
	CodeUnauthorized = "unauthorized"
)

// ChangeRequest asks for a team's inputs to be replaced.
type ChangeRequest struct {
	// Team comes from the path.
	Team string `json:"-"`
	// ChangeID makes the change idempotent.
	ChangeID string `json:"change-id"`
	// Parent is the number of the team's version that the change is based on.
	Parent uint64 `json:"parent"`
	// Template replaces the template, unless nil.
	Template *string `json:"template,omitempty"`
	// Values replace the values, unless nil.
	Values *string `json:"values,omitempty"`
}

// ChangeResponse is the lasting outcome of a change.
type ChangeResponse struct {
	// Number is the number of the accepted version.
	Number uint64 `json:"number"`
	// Hash is the hash of the accepted version, in hexadecimal.
	Hash string `json:"hash"`
}

// RenderResponse is the result of a dry run.
type RenderResponse struct {
	// Rendered is the rendered form.
	Rendered string `json:"rendered"`
	// Diff compares it to the form in force, as a unified diff.
	Diff string `json:"diff"`
	// Parent is the number to base a change on.
	Parent uint64 `json:"parent"`
}

// Team is a team's accepted inputs.
type Team struct {
	// Team is the team's name.
	Team string `json:"team"`
	// Number is the version that last changed the team's inputs.
	Number uint64 `json:"number"`
	// Template is the accepted template.
	Template string `json:"template,omitempty"`
	// Values are the accepted values.
	Values string `json:"values,omitempty"`
	// Rendered is the accepted rendered form.
	Rendered string `json:"rendered,omitempty"`
}

// Laggard is a node that does not hold the accepted version.
type Laggard struct {
	// Node is the node's name.
	Node string `json:"node"`
	// Held is the number of the version it holds.
	Held uint64 `json:"held"`
	// Refusal is why it holds no newer one, if it said so.
	Refusal string `json:"refusal,omitempty"`
}

// Zone sums up one availability zone.
type Zone struct {
	// Zone is the zone's name.
	Zone string `json:"zone"`
	// Nodes is the number of live nodes.
	Nodes int `json:"nodes"`
	// Holding is how many are known to hold the accepted version.
	Holding int `json:"holding"`
	// Laggards are some of those that do not.
	Laggards []Laggard `json:"laggards,omitempty"`
}

// Status is one replica's view of the system.
type Status struct {
	// Replica is the replica that answers.
	Replica string `json:"replica"`
	// Role is its role in the replicated log.
	Role string `json:"role"`
	// Term is its term.
	Term uint64 `json:"term"`
	// Leader is the leader it knows, or empty.
	Leader string `json:"leader"`
	// Voter says whether its disk has been admitted and counts in a quorum.
	Voter bool `json:"voter"`
	// Quorum says whether a quorum was heard lately.
	Quorum bool `json:"quorum"`
	// Number is the number of the accepted version.
	Number uint64 `json:"number"`
	// Hash is its hash, in hexadecimal.
	Hash string `json:"hash"`
	// Zones are the availability zones.
	Zones []Zone `json:"zones"`
	// Members are the voters of the replicated log.
	Members []string `json:"members"`
	// Suspects are members that are not heard.
	Suspects []string `json:"suspects,omitempty"`
}

// InForce says whether every live node holds at least the version number.
func (s Status) InForce(number uint64) bool {
	if s.Number < number || len(s.Zones) == 0 {
		return false
	}
	for _, z := range s.Zones {
		if z.Holding < z.Nodes {
			return false
		}
	}
	return true
}

// Record is one change in the history.
type Record struct {
	// ChangeID is the change's id.
	ChangeID string `json:"change-id"`
	// Team is the team it changed.
	Team string `json:"team"`
	// Number is the accepted version, or 0 for a conflict.
	Number uint64 `json:"number"`
	// Operator is who sent it.
	Operator string `json:"operator"`
	// Time is when it was sent, in RFC 3339.
	Time string `json:"time"`
	// Conflict says that it was refused for its parent.
	Conflict bool `json:"conflict"`
}

// Target is one target as a replica sees it.
type Target struct {
	// ID is the target's id.
	ID string `json:"id"`
	// Service is its service.
	Service string `json:"service"`
	// Team is its node's team.
	Team string `json:"team"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// Node is the node in its instance.
	Node string `json:"node"`
	// Slots is the number of calls it serves at once.
	Slots int `json:"slots"`
	// State is ready, draining or suspect.
	State string `json:"state"`
}

// Error is an error of the API.
type Error struct {
	// Code says what kind of error it is.
	Code string `json:"code"`
	// State says whether the change was taken.
	State string `json:"state"`
	// Step is where the error arose.
	Step string `json:"step"`
	// Reason says what is wrong.
	Reason string `json:"reason"`
	// Parent is the actual number, for a conflict.
	Parent uint64 `json:"parent,omitempty"`
	// Faults are what is wrong with the inputs.
	Faults []fireflymoor.Fault `json:"faults,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return e.Step + ": " + e.Reason + " (" + e.State + ")"
}
