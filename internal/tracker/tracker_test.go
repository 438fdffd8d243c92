package tracker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// TestCandidate notes what a proxy sees of a target, and reads it back as it
// ages.
func TestCandidate(t *testing.T) {
	is := is.New(t)
	target := fireflymoor.Target{
		ID:   "a",
		Node: "node",
		Zone: "zone",
	}
	now := time.Unix(1000, 0)
	tracker := New("node", "zone")
	end := tracker.Begin(target, now)
	tracker.Answered(target, 100*time.Millisecond, now)
	tracker.SetLoad(target, 0.5, now)
	c := tracker.Candidate(target, 0, now)
	is.Equal(c.InFlight, 1)
	is.Equal(c.Load, 0.5)
	is.Equal(c.Latency, 100*time.Millisecond)
	is.True(c.Local)
	is.True(c.Own)
	end()
	tracker.Answered(target, 200*time.Millisecond, now)
	is.Equal(tracker.Candidate(target, 0, now).Latency, 120*time.Millisecond)
	later := now.Add(latencyHalfLife)
	c = tracker.Candidate(target, 0, later)
	is.Equal(c.InFlight, 0)
	is.Equal(c.Load, 0.0)                    // an old word on the load is not believed
	is.Equal(c.Latency, 60*time.Millisecond) // one that was slow is tried again
	tracker.Refused(target, later)
	is.Equal(tracker.Candidate(target, 0, later).Load, full)
}

// TestSlowStart gives a new target a growing share.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	target := fireflymoor.Target{ID: "a"}
	now := time.Unix(1000, 0)
	tracker := New("node", "zone")
	is.Equal(tracker.Candidate(target, 2*time.Second, now).Weight, 0.0)
	is.Equal(tracker.Candidate(target, 2*time.Second, now.Add(time.Second)).Weight, 0.5)
	is.Equal(tracker.Candidate(target, 2*time.Second, now.Add(2*time.Second)).Weight, 1.0)
}

// TestStalled sends calls to a target that has gone silent, as behind a cut. It
// is stalled before the calls' deadlines pass, which is 500 ms, and no more
// once a call has come back. One slow call is no sign.
func TestStalled(t *testing.T) {
	is := is.New(t)
	tr := New("node", "zone")
	target := fireflymoor.Target{ID: "a"}
	now := time.Unix(1, 0)
	stalledAt := func(at time.Time) bool { return tr.Candidate(target, 0, at).Stalled }
	end := tr.Begin(target, now)
	tr.Answered(target, 40*time.Millisecond, now.Add(40*time.Millisecond))
	end()

	now = now.Add(time.Second)
	tr.Begin(target, now)
	is.True(!stalledAt(now.Add(400 * time.Millisecond))) // it may be one slow call
	tr.Begin(target, now.Add(10*time.Millisecond))
	is.True(!stalledAt(now.Add(100 * time.Millisecond)))
	is.True(stalledAt(now.Add(200 * time.Millisecond)))
	tr.Refused(target, now.Add(210*time.Millisecond))
	is.True(!stalledAt(now.Add(220 * time.Millisecond))) // it is there
}
