// Package administrator provides a client of the administration API, with the
// API's requests and responses.
package administrator

import "github.com/fireflymoor/fireflymoor"

// States of a change, as given in an error.
const (
	// NotTaken means that the change had no effect and will have none.
	NotTaken = "not-taken"
	// Taken means that the change is in the log.
	Taken = "taken"
	// Unknown means that the change may be in the log. To get its outcome, the
	// operator sends the change again with the same change ID.
	Unknown = "unknown"
)

// Codes of errors.
const (
	CodeInvalid      = "invalid"
	CodeConflict     = "conflict"
	CodeForbidden    = "forbidden"
	CodeNotFound     = "not-found"
	CodeUnavailable  = "unavailable"
	CodeReused       = "change-id-reused"
	CodeUnauthorized = "unauthorized"
)

// ChangeRequest is a request to replace a team's inputs.
type ChangeRequest struct {
	// Team is the team's name. It is sent in the URL's path, not in the body.
	Team string `json:"-"`
	// ChangeID identifies the change and makes it idempotent: a resend with the
	// same ID gets the first outcome. If empty, the replica generates an ID.
	ChangeID string `json:"change-id"`
	// Parent is the number of the team's version that the change is based on, or
	// 0 for the team's first version.
	Parent uint64 `json:"parent"`
	// Template is the new template. If nil, the parent's template is kept.
	Template *string `json:"template,omitempty"`
	// Values are the new values. If nil, the parent's values are kept.
	Values *string `json:"values,omitempty"`
}

// ChangeResponse is the permanent outcome of an accepted change.
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
	// Diff is a unified diff from the accepted rendered form to the new one.
	Diff string `json:"diff"`
	// Parent is the number of the team's accepted version, to be used as the
	// parent of a change.
	Parent uint64 `json:"parent"`
}

// Team holds a team's accepted inputs.
type Team struct {
	// Team is the team's name.
	Team string `json:"team"`
	// Number is the number of the version that last changed the team's inputs.
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
	// Held is the number of the version that the node holds.
	Held uint64 `json:"held"`
	// Refusal is the reason that the node reported for not putting a newer
	// version in force, or empty.
	Refusal string `json:"refusal,omitempty"`
}

// Zone is a summary of one availability zone.
type Zone struct {
	// Zone is the zone's name.
	Zone string `json:"zone"`
	// Nodes is the number of live nodes.
	Nodes int `json:"nodes"`
	// Holding is the number of live nodes known to hold the accepted version.
	Holding int `json:"holding"`
	// Laggards are some of the other live nodes.
	Laggards []Laggard `json:"laggards,omitempty"`
}

// Status is the system's state as seen by one replica.
type Status struct {
	// Replica is the name of the replica that responds.
	Replica string `json:"replica"`
	// Role is the replica's role in the replicated log.
	Role string `json:"role"`
	// Term is the replica's current term.
	Term uint64 `json:"term"`
	// Leader is the leader known to the replica, or empty.
	Leader string `json:"leader"`
	// Voter reports whether the replica's disk has been admitted and counts in a
	// quorum.
	Voter bool `json:"voter"`
	// Quorum reports whether the replica was recently in contact with a quorum.
	Quorum bool `json:"quorum"`
	// Number is the number of the accepted version.
	Number uint64 `json:"number"`
	// Hash is the hash of the accepted version, in hexadecimal.
	Hash string `json:"hash"`
	// Zones are summaries of the availability zones.
	Zones []Zone `json:"zones"`
	// Members are the voters of the replicated log.
	Members []string `json:"members"`
	// Size is the number of voters while none is being replaced. It is 0 if voters are
	// not replaced.
	Size int `json:"size,omitempty"`
	// Unresponsive are the voters that do not reply to this replica, if it leads.
	Unresponsive []string `json:"unresponsive,omitempty"`
	// Suspects are the names of the nodes suspected to have failed.
	Suspects []string `json:"suspects,omitempty"`
}

// InForce reports whether the accepted version has at least the given number and
// every live node is known to hold it. It is false if no zone is known.
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
	// ChangeID identifies the change.
	ChangeID string `json:"change-id"`
	// Team is the team whose inputs were to be changed.
	Team string `json:"team"`
	// Number is the number of the accepted version, or 0 for a conflict.
	Number uint64 `json:"number"`
	// Operator is the operator that sent the change.
	Operator string `json:"operator"`
	// Time is the time at which the change was sent, in RFC 3339.
	Time string `json:"time"`
	// Conflict reports whether the change was refused because its parent was not
	// the team's accepted version.
	Conflict bool `json:"conflict"`
	// Rollout is the service of the roll-out that was ordered or aborted, or empty.
	Rollout string `json:"rollout,omitempty"`
}

// Target is one target as seen by a replica.
type Target struct {
	// ID identifies the target.
	ID string `json:"id"`
	// Service is the name of the target's service.
	Service string `json:"service"`
	// Team is the team of the target's node.
	Team string `json:"team"`
	// Zone is the target's availability zone.
	Zone string `json:"zone"`
	// Node is the name of the node in the target's instance.
	Node string `json:"node"`
	// Version is the version of the target's software, or empty.
	Version string `json:"version,omitempty"`
	// Slots is the number of calls that the target serves at once.
	Slots int `json:"slots"`
	// State is ready, draining or suspect.
	State string `json:"state"`
}

// Error is an error of the administration API.
type Error struct {
	// Code is the kind of error: one of the Code constants.
	Code string `json:"code"`
	// State reports whether the change was taken: NotTaken, Taken or Unknown.
	State string `json:"state"`
	// Step is the processing step that failed.
	Step string `json:"step"`
	// Reason describes the error.
	Reason string `json:"reason"`
	// Parent is the number of the team's accepted version, in the case of a
	// conflict.
	Parent uint64 `json:"parent,omitempty"`
	// Faults are the faults found in the inputs.
	Faults []fireflymoor.Fault `json:"faults,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return e.Step + ": " + e.Reason + " (" + e.State + ")"
}
