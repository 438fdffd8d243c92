package tracker

import (
	"math"
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
	tracker.Answered(target, "route", 100*time.Millisecond, now)
	tracker.SetLoad(target, 0.5, now)
	c := tracker.Candidate(target, 0, now)
	is.Equal(c.InFlight, 1)
	is.Equal(c.Load, 0.5)
	is.Equal(c.Slowness, 1.0)
	is.True(c.Local)
	is.True(c.Own)
	end()
	tracker.Answered(target, "route", 600*time.Millisecond, now)
	is.Equal(tracker.Candidate(target, 0, now).Slowness, 2.0)
	later := now.Add(slownessHalfLife)
	c = tracker.Candidate(target, 0, later)
	is.Equal(c.InFlight, 0)
	is.Equal(c.Load, 0.0)     // an old word on the load is not believed
	is.Equal(c.Slowness, 1.5) // one that was slow is tried again
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
	tr.Answered(target, "route", 40*time.Millisecond, now.Add(40*time.Millisecond))
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

// TestSeldomCalled has a proxy among 64: the target of its own instance answers
// it many times a second, each of the others once in ten seconds. All are as
// fast, and it must not take those that it has not seen for long to be faster.
func TestSeldomCalled(t *testing.T) {
	is := is.New(t)
	tr := New("node", "zone")
	own := fireflymoor.Target{ID: "own"}
	other := fireflymoor.Target{ID: "other"}
	now := time.Unix(1, 0)
	tr.Answered(other, "route", 280*time.Millisecond, now)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		tr.Answered(own, "route", 280*time.Millisecond, now)
	}
	is.Equal(tr.Candidate(own, 0, now).Slowness, 1.0)
	is.Equal(tr.Candidate(other, 0, now).Slowness, 1.0)
}

// TestRoutesOfOneTarget has a target answer the short nested calls of one route
// and the long calls of another. Another target answers long ones only, and is
// no slower.
func TestRoutesOfOneTarget(t *testing.T) {
	is := is.New(t)
	tr := New("node", "zone")
	both := fireflymoor.Target{ID: "both"}
	long := fireflymoor.Target{ID: "long"}
	now := time.Unix(1, 0)
	for range 20 {
		tr.Answered(both, "short", 70*time.Millisecond, now)
		tr.Answered(both, "long", 370*time.Millisecond, now)
		tr.Answered(long, "long", 370*time.Millisecond, now)
	}
	is.Equal(tr.Candidate(both, 0, now).Slowness, 1.0)
	is.Equal(tr.Candidate(long, 0, now).Slowness, 1.0)
}

// TestUsualTime has one target of three answer twelve times as slow: what is
// usual stays with the two.
func TestUsualTime(t *testing.T) {
	is := is.New(t)
	tr := New("node", "zone")
	now := time.Unix(1, 0)
	targets := []fireflymoor.Target{{ID: "a"}, {ID: "b"}, {ID: "slow"}}
	for range 100 {
		tr.Answered(targets[0], "route", 60*time.Millisecond, now)
		tr.Answered(targets[1], "route", 66*time.Millisecond, now)
		tr.Answered(targets[2], "route", 720*time.Millisecond, now)
	}
	is.True(tr.Candidate(targets[0], 0, now).Slowness < 1.2)
	is.True(tr.Candidate(targets[2], 0, now).Slowness > 8)
}

// TestZoneLoad has answers of a service's targets in two zones tell their loads.
// Each zone's mean is its own, and is forgotten with the last of its targets.
func TestZoneLoad(t *testing.T) {
	is := is.New(t)
	tr := New("node", "a")
	now := time.Unix(1e9, 0)
	near := func(load, want float64) bool { return math.Abs(load-want) < 1e-6 }
	own := fireflymoor.Target{ID: "own", Service: "service", Zone: "a"}
	far := fireflymoor.Target{ID: "far", Service: "service", Zone: "b"}
	tr.SetLoad(own, 0.9, now)
	tr.SetLoad(far, 0.2, now)
	other := own
	other.ID = "other"
	is.True(near(tr.Candidate(other, 0, now).ZoneLoad, 0.9)) // by the answers of its neighbours
	is.True(near(tr.Candidate(far, 0, now).ZoneLoad, 0.2))
	is.True(near(tr.Candidate(own, 0, now.Add(zoneHalfLife)).ZoneLoad, 0.45))
	tr.Forget([]fireflymoor.Target{own})
	zones := 0
	tr.zones.Range(func(_, _ any) bool {
		zones++
		return true
	})
	is.Equal(zones, 1)
	is.True(near(tr.Candidate(own, 0, now).ZoneLoad, 0.9))
}
