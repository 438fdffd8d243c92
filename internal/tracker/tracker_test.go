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
		Zone: "zone",
	}
	now := time.Unix(1000, 0)
	tracker := New("zone")
	end := tracker.Begin(target, now)
	tracker.Answered(target, 100*time.Millisecond, now)
	tracker.SetLoad(target, 0.5, now)
	c := tracker.Candidate(target, 0, now)
	is.Equal(c.InFlight, 1)
	is.Equal(c.Load, 0.5)
	is.Equal(c.Latency, 100*time.Millisecond)
	is.True(c.Local)
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
	tracker := New("zone")
	is.Equal(tracker.Candidate(target, 2*time.Second, now).Weight, 0.0)
	is.Equal(tracker.Candidate(target, 2*time.Second, now.Add(time.Second)).Weight, 0.5)
	is.Equal(tracker.Candidate(target, 2*time.Second, now.Add(2*time.Second)).Weight, 1.0)
}
