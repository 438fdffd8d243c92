package administrator

import (
	"context"
	"net/http"
	"net/url"

	"github.com/google/uuid"
)

// States of a roll-out.
const (
	RolloutRunning    = "running"
	RolloutCompleted  = "completed"
	RolloutRolledBack = "rolled-back"
)

// RolloutRequest is an order to move a service's calls to targets of a version.
type RolloutRequest struct {
	// Team is the team's name. It is sent in the URL's path, not in the body.
	Team string `json:"-"`
	// Service is the name of the service. It is sent in the URL's path.
	Service string `json:"-"`
	// ChangeID identifies the order. If empty, the replica generates an ID. An order
	// that equals the one before is a resend of it, whatever its ID.
	ChangeID string `json:"change-id"`
	// Version is the new version.
	Version string `json:"version"`
	// DurationMilliseconds is the time within which the roll-out ends.
	DurationMilliseconds int64 `json:"duration-ms"`
}

// Rollout is the last roll-out of a service.
type Rollout struct {
	// Team is the team's name.
	Team string `json:"team"`
	// Service is the name of the service.
	Service string `json:"service"`
	// Version is the new version.
	Version string `json:"version"`
	// Previous are the versions that were allowed before.
	Previous []string `json:"previous"`
	// State is one of the constants that begin with Rollout. It is RolloutCompleted
	// only once the decision is in force.
	State string `json:"state"`
	// Share is the share of the calls that go to the new version, from 0 to 1.
	Share float64 `json:"share"`
	// Reason explains the last decision.
	Reason string `json:"reason"`
	// Started is the time of the order, in RFC 3339.
	Started string `json:"started"`
	// DurationMilliseconds is the time within which the roll-out ends.
	DurationMilliseconds int64 `json:"duration-ms"`
	// Number is the number of the version that last changed the roll-out.
	Number uint64 `json:"number"`
}

func rolloutPath(team, service, action string) string {
	path := "/v1/teams/" + url.PathEscape(team) + "/rollouts"
	if service != "" {
		path += "/" + url.PathEscape(service)
	}
	return path + action
}

// StartRollout orders a roll-out. It is safe to send the request again.
func (c *Client) StartRollout(ctx context.Context, request RolloutRequest) (Rollout, error) {
	response := Rollout{}
	if request.ChangeID == "" {
		request.ChangeID = uuid.NewString()
	}
	err := c.call(ctx, http.MethodPost, rolloutPath(request.Team, request.Service, ""), request, &response)
	return response, err
}

// AbortRollout rolls back the running roll-out of a service.
func (c *Client) AbortRollout(ctx context.Context, team, service string) (Rollout, error) {
	response := Rollout{}
	request := RolloutRequest{
		ChangeID: uuid.NewString(),
	}
	err := c.call(ctx, http.MethodPost, rolloutPath(team, service, "/abort"), request, &response)
	return response, err
}

// Rollout returns the last roll-out of a service.
func (c *Client) Rollout(ctx context.Context, team, service string) (Rollout, error) {
	response := Rollout{}
	err := c.call(ctx, http.MethodGet, rolloutPath(team, service, ""), nil, &response)
	return response, err
}

// Rollouts returns the last roll-out of each service of a team.
func (c *Client) Rollouts(ctx context.Context, team string) ([]Rollout, error) {
	var response []Rollout
	err := c.call(ctx, http.MethodGet, rolloutPath(team, "", ""), nil, &response)
	return response, err
}
