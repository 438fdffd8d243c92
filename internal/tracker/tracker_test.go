package tracker

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// TestCandidate records observations of a target and checks how its estimates
// change as they age.
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
	tracker.RecordResponse(target, "route", 100*time.Millisecond, now)
	tracker.SetLoad(target, 0.5, now)
	c := tracker.Candidate(target, 0, now)
	is.Equal(c.InFlight, 1)
	is.Equal(c.Load, 0.5)
	is.Equal(c.Slowness, 1.0)
	is.True(c.SameZone)
	is.True(c.SameInstance)
	end()
	tracker.RecordResponse(target, "route", 600*time.Millisecond, now)
	is.Equal(tracker.Candidate(target, 0, now).Slowness, 2.0)
	later := now.Add(slownessHalfLife)
	c = tracker.Candidate(target, 0, later)
	is.Equal(c.InFlight, 0)
	is.Equal(c.Load, 0.0)     // a load older than loadTTL is not used
	is.Equal(c.Slowness, 1.5) // slowness decays, so that a slow target is tried again
	tracker.RecordRefusal(target, later)
	is.Equal(tracker.Candidate(target, 0, later).Load, refusalLoad)
}

// TestSlowStart checks that the weight of a new target grows during slow start.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	target := fireflymoor.Target{ID: "a"}
	now := time.Unix(1000, 0)
	tracker := New("node", "zone")
	is.Equal(tracker.Candidate(target, 2*time.Second, now).Weight, 0.0)
	is.Equal(tracker.Candidate(target, 2*time.Second, now.Add(time.Second)).Weight, 0.5)
	is.Equal(tracker.Candidate(target, 2*time.Second, now.Add(2*time.Second)).Weight, 1.0)
}

// TestStalled sends calls to a target that stops responding, as behind a network
// partition. It must count as stalled before the calls' deadlines of 500 ms, and
// no longer once it answers or refuses a call. A single slow call does not make it
// stalled.
func TestStalled(t *testing.T) {
	is := is.New(t)
	tr := New("node", "zone")
	target := fireflymoor.Target{ID: "a"}
	now := time.Unix(1, 0)
	stalledAt := func(at time.Time) bool { return tr.Candidate(target, 0, at).Stalled }
	end := tr.Begin(target, now)
	tr.RecordResponse(target, "route", 40*time.Millisecond, now.Add(40*time.Millisecond))
	end()

	now = now.Add(time.Second)
	tr.Begin(target, now)
	is.True(!stalledAt(now.Add(400 * time.Millisecond))) // one slow call is not enough
	tr.Begin(target, now.Add(10*time.Millisecond))
	is.True(!stalledAt(now.Add(100 * time.Millisecond)))
	is.True(stalledAt(now.Add(200 * time.Millisecond)))
	tr.RecordRefusal(target, now.Add(210*time.Millisecond))
	is.True(!stalledAt(now.Add(220 * time.Millisecond))) // a refusal shows that the target responds
}

// TestRarelyCalledTarget has one proxy among 64. The target of its own instance
// answers its calls ten times a second, and each other target one call in 10 s.
// All are equally fast, and the proxy must not take a target with old measurements
// to be faster.
func TestRarelyCalledTarget(t *testing.T) {
	is := is.New(t)
	tr := New("node", "zone")
	local := fireflymoor.Target{ID: "own"}
	other := fireflymoor.Target{ID: "other"}
	now := time.Unix(1, 0)
	tr.RecordResponse(other, "route", 280*time.Millisecond, now)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		tr.RecordResponse(local, "route", 280*time.Millisecond, now)
	}
	is.Equal(tr.Candidate(local, 0, now).Slowness, 1.0)
	is.Equal(tr.Candidate(other, 0, now).Slowness, 1.0)
}

// TestRoutesOfOneTarget has one target serve the short nested calls of one route
// and the long calls of another, and a second target serve only long calls. The
// second target must not appear slower.
func TestRoutesOfOneTarget(t *testing.T) {
	is := is.New(t)
	tr := New("node", "zone")
	both := fireflymoor.Target{ID: "both"}
	long := fireflymoor.Target{ID: "long"}
	now := time.Unix(1, 0)
	for range 20 {
		tr.RecordResponse(both, "short", 70*time.Millisecond, now)
		tr.RecordResponse(both, "long", 370*time.Millisecond, now)
		tr.RecordResponse(long, "long", 370*time.Millisecond, now)
	}
	is.Equal(tr.Candidate(both, 0, now).Slowness, 1.0)
	is.Equal(tr.Candidate(long, 0, now).Slowness, 1.0)
}

// TestBaselineIgnoresSlowTarget has one of three targets respond twelve times as
// slowly. The usual time must stay near that of the other two.
func TestBaselineIgnoresSlowTarget(t *testing.T) {
	is := is.New(t)
	tr := New("node", "zone")
	now := time.Unix(1, 0)
	targets := []fireflymoor.Target{{ID: "a"}, {ID: "b"}, {ID: "slow"}}
	for range 100 {
		tr.RecordResponse(targets[0], "route", 60*time.Millisecond, now)
		tr.RecordResponse(targets[1], "route", 66*time.Millisecond, now)
		tr.RecordResponse(targets[2], "route", 720*time.Millisecond, now)
	}
	is.True(tr.Candidate(targets[0], 0, now).Slowness < 1.2)
	is.True(tr.Candidate(targets[2], 0, now).Slowness > 8)
}

// TestZoneLoad records loads reported by targets of a service in two zones. The
// mean of each zone must be separate, and must be dropped with the zone's last
// target.
func TestZoneLoad(t *testing.T) {
	is := is.New(t)
	tr := New("node", "a")
	now := time.Unix(1e9, 0)
	almostEqual := func(load, want float64) bool { return math.Abs(load-want) < 1e-6 }
	local := fireflymoor.Target{ID: "own", Service: "service", Zone: "a"}
	remote := fireflymoor.Target{ID: "far", Service: "service", Zone: "b"}
	tr.SetLoad(local, 0.9, now)
	tr.SetLoad(remote, 0.2, now)
	other := local
	other.ID = "other"
	is.True(almostEqual(tr.Candidate(other, 0, now).ZoneLoad, 0.9)) // from responses of other targets in the zone
	is.True(almostEqual(tr.Candidate(remote, 0, now).ZoneLoad, 0.2))
	is.True(almostEqual(tr.Candidate(local, 0, now.Add(zoneHalfLife)).ZoneLoad, 0.45))
	tr.Retain([]fireflymoor.Target{local})
	zones := 0
	tr.zones.Range(func(_, _ any) bool {
		zones++
		return true
	})
	is.Equal(zones, 1)
	is.True(almostEqual(tr.Candidate(local, 0, now).ZoneLoad, 0.9))
}
