package recorder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	startedAt      = 1_700_000_000_000
	durationMillis = 12_000
)

func newOrder(id, version string, at int64, seen ...string) *messenger.Change {
	return &messenger.Change{
		Id:               id,
		Team:             "team",
		UnixMilliseconds: at,
		RolloutOrder: &messenger.RolloutOrder{
			Service:              "a",
			Version:              version,
			DurationMilliseconds: durationMillis,
			Seen:                 seen,
		},
	}
}

func newDecision(id string, started int64, step uint64, state fireflymoor.RolloutState, share float64) *messenger.Change {
	return &messenger.Change{
		Id:               id,
		Team:             "team",
		UnixMilliseconds: started + 1000,
		RolloutDecision: &messenger.RolloutDecision{
			Service: "a",
			Started: started,
			Step:    step,
			State:   string(state),
			Share:   share,
		},
	}
}

// newTeam returns a Recorder with a configuration of the team.
func newTeam(t *testing.T) *Recorder {
	t.Helper()
	r := New()
	_, accepted := r.Apply(labelledChange("first", 0, 5))
	is.New(t).True(accepted)
	return r
}

func (r *Recorder) mustRollout(t *testing.T) fireflymoor.Rollout {
	t.Helper()
	rollout, ok := r.Rollout("team", "a")
	is.New(t).True(ok)
	return rollout
}

// TestRolloutBesideConfiguration applies an order and decisions between an operator's
// configurations. No configuration may be refused because of them, with a label or
// without, and none may lose the state of the roll-out, also after a restore from a
// snapshot.
func TestRolloutBesideConfiguration(t *testing.T) {
	is := is.New(t)
	r := newTeam(t)
	record, accepted := r.Apply(newOrder("order", "v2", startedAt, "v1"))
	is.True(accepted)
	is.Equal(record.GetNumber(), uint64(2))
	_, accepted = r.Apply(labelledChange("second", 5, 7)) // based on the version before the order
	is.True(accepted)
	_, accepted = r.Apply(newDecision("d1", startedAt, 1, fireflymoor.RolloutRunning, 0.05))
	is.True(accepted)
	is.Equal(r.Label("team"), uint64(7))
	is.Equal(r.Number("team"), uint64(3))

	state, err := r.Snapshot()
	is.NoErr(err)
	restored := New()
	is.NoErr(restored.Restore(state))
	is.Equal(restored.Manifest().Hash(), r.Manifest().Hash())
	r = restored
	_, accepted = r.Apply(&messenger.Change{Id: "native", Team: "team", Parent: 3, Template: "third"})
	is.True(accepted)
	rollout := r.mustRollout(t)
	is.Equal(rollout.Share, 0.05)
	is.Equal(rollout.Previous, []string{"v1"})
	inputs, _ := r.Inputs("team")
	is.Equal(inputs.Template, "third")
	entry, _ := r.Manifest().Team("team")
	is.Equal(entry.Rollouts, fireflymoor.HashOf(inputs.Rollouts))
}

// TestRolloutOrders sends an order again, another one while the first runs, and orders
// after a roll-out has ended. A resend must change nothing, and a late resend must not
// start a bad version again.
func TestRolloutOrders(t *testing.T) {
	is := is.New(t)
	r := newTeam(t)
	apply := func(c *messenger.Change) (conflict, accepted bool) {
		record, accepted := r.Apply(c)
		return record.GetConflict(), accepted
	}
	expect := func(c *messenger.Change, wantConflict, wantAccepted bool) {
		t.Helper()
		conflict, accepted := apply(c)
		is.Equal(conflict, wantConflict)
		is.Equal(accepted, wantAccepted)
	}
	expect(newOrder("1", "v2", startedAt, "v1", "v2"), false, true)
	expect(newOrder("1", "v2", startedAt, "v1"), false, false) // the same entry twice
	expect(newOrder("2", "v2", startedAt+1, "v2"), false, false)
	expect(newOrder("3", "v3", startedAt+1, "v1"), true, false)
	longer := newOrder("4", "v2", startedAt+1, "v1")
	longer.RolloutOrder.DurationMilliseconds++
	expect(longer, true, false)

	expect(newDecision("d", startedAt, 1, fireflymoor.RolloutRolledBack, 0.5), false, true)
	is.Equal(r.mustRollout(t).Share, 0.0)
	expect(newOrder("5", "v2", startedAt+durationMillis-1, "v1", "v2"), false, false)
	is.Equal(r.mustRollout(t).State, fireflymoor.RolloutRolledBack)

	secondStart := int64(startedAt + 500)
	expect(newOrder("6", "v3", secondStart, "v1", "v2", "v3"), false, true)
	is.Equal(r.mustRollout(t).Previous, []string{"v1"}) // the version that was rolled back is not allowed
	expect(newDecision("e", secondStart, 1, fireflymoor.RolloutCompleted, 1), false, true)
	expect(newOrder("7", "v3", startedAt+10*durationMillis), false, false)
	expect(newOrder("8", "v4", startedAt+10*durationMillis, "v1", "v3"), false, true)
	is.Equal(r.mustRollout(t).Previous, []string{"v3"})
}

// TestRolloutDecisions applies decisions that are late, repeated, or made on another
// roll-out. Only the next decision on the running one may change it.
func TestRolloutDecisions(t *testing.T) {
	is := is.New(t)
	r := newTeam(t)
	r.Apply(newOrder("1", "v2", startedAt, "v1"))
	accepted := func(c *messenger.Change) bool {
		_, accepted := r.Apply(c)
		return accepted
	}
	is.True(!accepted(newDecision("a", startedAt+1, 1, fireflymoor.RolloutRunning, 0.1))) // another roll-out
	is.True(!accepted(newDecision("b", startedAt, 2, fireflymoor.RolloutRunning, 0.1)))
	is.True(accepted(newDecision("c", startedAt, 1, fireflymoor.RolloutRunning, 0.1)))
	is.True(!accepted(newDecision("c", startedAt, 1, fireflymoor.RolloutRunning, 0.1)))
	is.True(!accepted(newDecision("d", startedAt, 1, fireflymoor.RolloutCompleted, 1))) // of a former leader
	abort := &messenger.Change{
		Id:               "abort",
		Team:             "team",
		UnixMilliseconds: startedAt + 2000,
		RolloutDecision: &messenger.RolloutDecision{
			Service: "a",
			Abort:   true,
		},
	}
	is.True(accepted(abort))
	rollout := r.mustRollout(t)
	is.Equal(rollout.State, fireflymoor.RolloutRolledBack)
	is.Equal(rollout.Decided, time.UnixMilli(startedAt+2000).UTC())
	is.True(!accepted(newDecision("e", startedAt, 3, fireflymoor.RolloutCompleted, 1)))
	is.Equal(len(r.Records(10)), 3) // of the configuration, the order and the abort
}

// TestOnlyVersion orders a version that all known targets have. It must be completed at
// once: no other target could take the calls.
func TestOnlyVersion(t *testing.T) {
	is := is.New(t)
	r := newTeam(t)
	r.Apply(newOrder("1", "v2", startedAt, "v2"))
	is.Equal(r.mustRollout(t).State, fireflymoor.RolloutCompleted)
	_, accepted := New().Apply(newOrder("1", "v2", startedAt, "v2"))
	is.True(!accepted) // there is no configuration
}
