package operator

import (
	"context"
	"math"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

// rolloutReplica is a leader and its follower, whose only node may lag.
type rolloutReplica struct {
	*twoReplicas

	holding int
}

// Confirm implements Replica.
func (r *rolloutReplica) Confirm(context.Context) error {
	r.catchUp()
	return nil
}

// Targets implements Replica.
func (*rolloutReplica) Targets(context.Context) ([]fireflymoor.Target, error) {
	return []fireflymoor.Target{{Service: "a", Team: "team", Version: "v1"}, {Service: "b", Team: "team", Version: "v0"}}, nil
}

// Status implements Replica.
func (r *rolloutReplica) Status(context.Context) (administrator.Status, error) {
	return administrator.Status{
		Number: r.follower.Manifest().Number(),
		Zones:  []administrator.Zone{{Nodes: 1, Holding: r.holding}},
	}, nil
}

// TestCompletedIsInForce reads a completed roll-out. Old targets stop when it is
// reported, so it must be reported only once the decision is in force and calls in
// flight have had time to end, but in the end also if a node does not report.
func TestCompletedIsInForce(t *testing.T) {
	is := is.New(t)
	r := &rolloutReplica{
		twoReplicas: newTwoReplicas(),
	}
	s := newTestService(r)
	now := time.Now()
	completed := fireflymoor.Rollout{
		State:    fireflymoor.RolloutCompleted,
		Started:  now.Add(-9 * time.Second),
		Duration: 12 * time.Second,
		Decided:  now,
		Step:     3,
	}
	stateAfter := func(age time.Duration) string {
		state, err := s.visibleState(t.Context(), completed, now.Add(age))
		is.NoErr(err)
		return string(state)
	}
	is.Equal(stateAfter(settleTime), administrator.RolloutRunning)
	r.holding = 1
	is.Equal(stateAfter(0), administrator.RolloutRunning)
	is.Equal(stateAfter(settleTime), administrator.RolloutCompleted)
	r.holding = 0
	is.Equal(stateAfter(3*time.Second), administrator.RolloutCompleted) // the duration ends
	completed.Duration = time.Minute
	is.Equal(stateAfter(3*time.Second), administrator.RolloutRunning)
	is.Equal(stateAfter(reportTimeout), administrator.RolloutCompleted)
}

// TestRolloutAndChange orders a roll-out through a replica that lags, and sends a
// change that is based on the version before. Both must be accepted, and the change
// must be acceptable with the number that the service gives as its parent.
func TestRolloutAndChange(t *testing.T) {
	is := is.New(t)
	r := &rolloutReplica{
		twoReplicas: newTwoReplicas(),
	}
	s := newTestService(r)
	_, err := s.change(t.Context(), newRequest("1", 0, firstTemplate, firstValues))
	is.NoErr(err)
	order := RolloutOrder{
		Team:     "team",
		Service:  "a",
		Version:  "v2",
		Duration: time.Second,
	}
	_, err = s.StartRollout(t.Context(), order)
	is.NoErr(err)
	_, err = s.change(t.Context(), newRequest("2", 1, "", secondValues))
	is.NoErr(err)
	r.catchUp()
	rollout, err := s.Rollout(t.Context(), "team", "a")
	is.NoErr(err)
	is.Equal(rollout.Previous, []string{"v1"})
	team, err := s.team(t.Context(), "team")
	is.NoErr(err)
	is.Equal(team.Number, uint64(3))
	rollout, err = s.AbortRollout(t.Context(), "", "team", "a")
	is.NoErr(err)
	r.catchUp()
	rollout, err = s.Rollout(t.Context(), "team", "a")
	is.NoErr(err)
	is.Equal(rollout.State, administrator.RolloutRolledBack)
	_, err = s.change(t.Context(), newRequest("3", 3, "", firstValues))
	is.NoErr(err)

	order.Service = "nobody"
	_, err = s.StartRollout(t.Context(), order)
	apiErr := &administrator.Error{}
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.Code, administrator.CodeNotFound)
}

// TestRolloutEndpoints orders, reads and aborts a roll-out through the administration
// API with the client.
func TestRolloutEndpoints(t *testing.T) {
	is := is.New(t)
	r := &rolloutReplica{
		twoReplicas: newTwoReplicas(),
	}
	s := newTestService(r)
	_, err := s.change(t.Context(), newRequest("1", 0, firstTemplate, firstValues))
	is.NoErr(err)
	server := httptest.NewServer(NewHandler(s, map[string]string{"team": "token", "other": "other"}))
	defer server.Close()
	addresses := []string{server.Listener.Addr().String()}
	client := administrator.New(addresses, "token", time.Second)
	codeOf := func(err error) string {
		apiErr := &administrator.Error{}
		is.True(errors.As(err, &apiErr))
		return apiErr.Code
	}
	request := administrator.RolloutRequest{
		Team:                 "team",
		Service:              "a",
		Version:              "v2",
		DurationMilliseconds: 12_000,
	}
	_, err = administrator.New(addresses, "other", time.Second).StartRollout(t.Context(), request)
	is.Equal(codeOf(err), administrator.CodeForbidden)
	rollouts, err := client.Rollouts(t.Context(), "team")
	is.NoErr(err)
	is.Equal(len(rollouts), 0)
	_, err = client.StartRollout(t.Context(), request)
	is.NoErr(err)
	other := request
	other.Version = "v3"
	_, err = client.StartRollout(t.Context(), other)
	is.Equal(codeOf(err), administrator.CodeConflict)
	other.DurationMilliseconds = math.MaxInt64
	_, err = client.StartRollout(t.Context(), other)
	is.Equal(codeOf(err), administrator.CodeInvalid)
	rollout, err := client.Rollout(t.Context(), "team", "a")
	is.NoErr(err)
	is.Equal(rollout.State, administrator.RolloutRunning)
	_, err = client.AbortRollout(t.Context(), "team", "a")
	is.NoErr(err)
	rollout, err = client.Rollout(t.Context(), "team", "a")
	is.NoErr(err)
	is.Equal(rollout.State, administrator.RolloutRolledBack)
	_, err = client.Rollout(t.Context(), "team", "b")
	is.Equal(codeOf(err), administrator.CodeNotFound)
	records, err := client.History(t.Context())
	is.NoErr(err)
	is.Equal(records[0].Rollout, "a")
}
