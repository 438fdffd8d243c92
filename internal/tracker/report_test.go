package tracker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

func reportedTarget(id string) fireflymoor.Target {
	return fireflymoor.Target{
		ID:      id,
		Service: "service",
		Zone:    "zone",
		Slots:   10,
	}
}

// TestExpectedUtilization follows the estimate of one target of a zone in which
// others are at 60%. A report must lose its effect as it ages, or calls are sent to
// a target that was idle a second ago, and this proxy's picks must count until the
// next report.
func TestExpectedUtilization(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tracker := New("node", "zone")
	hold := 100 * time.Millisecond
	idle := reportedTarget("idle")
	utilization := func(now time.Time) float64 { return tracker.Candidate(idle, 0, now).Utilization }
	tracker.RecordReport(reportedTarget("other"), fireflymoor.LoadReport{Load: 0.6, Hold: hold, Pace: 1}, now)
	tracker.RecordReport(idle, fireflymoor.LoadReport{Load: 0, Hold: hold, Pace: 1}, now)
	is.Equal(utilization(now), 0.0)
	end := tracker.Begin(idle, now)
	is.Equal(utilization(now), 0.1) // one of ten slots is this proxy's
	end()
	is.Equal(utilization(now), 0.0)
	end = tracker.Begin(idle, now)
	mean := tracker.Candidate(idle, 0, now.Add(hold)).ZoneLoad
	is.True(utilization(now.Add(hold)) > 0.1+mean/2) // more than half of the report's effect is gone
	tracker.RecordReport(idle, fireflymoor.LoadReport{Load: 0.3, Hold: hold, Pace: 1}, now)
	is.Equal(utilization(now), 0.3) // the report contains the pick
	end()
	is.Equal(utilization(now), 0.3)
}

// TestRelativeHold has a target that is twice as slow as the other one, and one whose
// pace is slow for a moment. A claim to be fast must have no effect.
func TestRelativeHold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tracker := New("node", "zone")
	report := func(id string, hold time.Duration, pace float64) {
		tracker.RecordReport(reportedTarget(id), fireflymoor.LoadReport{Hold: hold, Pace: pace}, now)
	}
	relativeHold := func(id string, now time.Time) float64 {
		return tracker.Candidate(reportedTarget(id), 0, now).RelativeHold
	}
	is.Equal(relativeHold("unknown", now), 1.0)
	for range 200 {
		report("fast", 100*time.Millisecond, 0.01)
		report("slow", 200*time.Millisecond, 1)
	}
	ratio := relativeHold("slow", now) / relativeHold("fast", now)
	is.True(ratio > 1.99 && ratio < 2.01)
	report("paused", 150*time.Millisecond, 2.5)
	is.Equal(relativeHold("paused", now), 2.5)
	is.True(relativeHold("paused", now.Add(2*time.Second)) < 1.1)
}

// TestFreeTarget names a target only by recent news, and not again once the calls
// that were sent there fill it.
func TestFreeTarget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tracker := New("node", "zone")
	targets := []fireflymoor.Target{reportedTarget("a"), reportedTarget("b"), reportedTarget("c")}
	is.Equal(tracker.FreeTarget(targets, now), "")
	tracker.RecordReport(targets[0], fireflymoor.LoadReport{Load: 0.9, Pace: 1}, now)
	tracker.RecordReport(targets[1], fireflymoor.LoadReport{Load: 0.65, Pace: 1}, now)
	is.Equal(tracker.FreeTarget(targets, now), "b")
	is.Equal(tracker.FreeTarget(targets, now), "b")
	is.Equal(tracker.FreeTarget(targets, now), "") // two calls were sent there
	tracker.RecordReport(targets[1], fireflymoor.LoadReport{Load: 0.5, Pace: 1}, now)
	is.Equal(tracker.FreeTarget(targets, now.Add(time.Second)), "")
}
