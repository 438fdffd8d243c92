package tracker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// TestLimit records the limit of a target and checks how many of its slots calls can
// use, and that the limit ends with a later response or when it is not heard of.
func TestLimit(t *testing.T) {
	is := is.New(t)
	target := fireflymoor.Target{
		ID:    "a",
		Slots: 18,
	}
	now := time.Unix(1000, 0)
	tracker := New("node", "zone")
	tracker.RecordResponse(target, "route", 200*time.Millisecond, now)
	c := tracker.Candidate(target, 0, now)
	is.Equal(c.Capacity, 18.0)
	is.True(!c.Limited)
	sentBefore := now.Add(-time.Millisecond)
	tracker.RecordLimit(target, 20, sentBefore, now)
	c = tracker.Candidate(target, 0, now)
	is.Equal(c.Capacity, 4.0) // 20 calls a second hold 4 slots for 0.2 s
	is.True(c.Limited)
	tracker.RecordLimit(target, 500, now, now)
	is.Equal(tracker.Candidate(target, 0, now).Capacity, 18.0)
	tracker.RecordLimit(target, 0, sentBefore, now) // overtaken by the one that states the limit
	is.Equal(tracker.Limit(target, now), 500.0)
	tracker.RecordLimit(target, 0, now, now)
	is.Equal(tracker.Limit(target, now), 0.0)
	tracker.RecordLimit(target, 20, now, now)
	is.Equal(tracker.Limit(target, now.Add(limitTTL+time.Millisecond)), 0.0)
}

// TestLimitRefusal checks that a target whose limit refused a call counts as full for as
// long as the call would have waited.
func TestLimitRefusal(t *testing.T) {
	is := is.New(t)
	target := fireflymoor.Target{
		ID:    "a",
		Slots: 18,
	}
	now := time.Unix(1000, 0)
	tracker := New("node", "zone")
	tracker.RecordLimit(target, 2, now, now)
	tracker.RecordLimitRefusal(target, 500*time.Millisecond, now)
	c := tracker.Candidate(target, 0, now.Add(400*time.Millisecond))
	is.True(c.Load >= 1)
	is.True(c.Utilization >= 1)
	is.Equal(tracker.FreeTarget([]fireflymoor.Target{target}, now), "")
	c = tracker.Candidate(target, 0, now.Add(600*time.Millisecond))
	is.Equal(c.Load, 0.0)
}

// TestLimitOfRestartedNode checks that a target's limit is known beyond a restart of its
// node, during which the target is not in the view.
func TestLimitOfRestartedNode(t *testing.T) {
	is := is.New(t)
	target := fireflymoor.Target{
		ID:   "a",
		Boot: 1,
	}
	now := time.Now()
	tracker := New("node", "zone")
	tracker.RecordLimit(target, 2, now, now)
	tracker.Retain(nil)
	target.Boot = 2
	is.Equal(tracker.Limit(target, now), 2.0)
}
