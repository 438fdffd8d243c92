// Package balancer picks the target for a call.
package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// full is the load from which a target elsewhere counts as full, and
	// nearFull that of one in the own zone: links between zones are dear, so
	// that a short wait is better than the way.
	full     = 1.0
	nearFull = 1.5
	// leastWeight keeps a cold target from getting no work at all.
	leastWeight = 0.05
	// spillFrom is the mean load of a zone from which part of its calls go
	// elsewhere, and spillWidth by how much more all do, if their target's own
	// load is not known: at that load some are full.
	spillFrom  = 0.75
	spillWidth = 0.5
	// farCost is how many times longer a call may take at a target of the own
	// zone than at one elsewhere and still go there: links between zones are
	// dear.
	farCost = 3
	// ownCost is the same for the target of the own instance against others:
	// an instance's link is thin, and a call that stays crosses none.
	ownCost = 1.5
)

// The reasons for a pick.
const (
	ReasonOwn   = "own instance has a slot"
	ReasonLocal = "lower of two in the zone"
	ReasonSpill = "zone is full or slow, lower of two elsewhere"
	ReasonFull  = "all are full, lowest of those looked at"
	ReasonOnly  = "only candidate"
)

type twoChoices struct{}

// NewTwoChoices returns a new fireflymoor.Balancer that prefers the target of
// the own instance while it has a slot and is not slower than others. Else it
// takes two random targets of the own availability zone and picks the one that
// costs less. Calls go to other zones when the own is much slower, and the more
// of them the fuller it is. What a target costs is by the proxy's own calls, how
// many and how long; the load that the target tells is a hint.
func NewTwoChoices() fireflymoor.Balancer {
	return twoChoices{}
}

// Pick implements fireflymoor.Balancer.
func (twoChoices) Pick(candidates []fireflymoor.Candidate, _ time.Time) (fireflymoor.Pick, bool) {
	if len(candidates) == 0 {
		return fireflymoor.Pick{}, false
	}
	if len(candidates) == 1 {
		return pick(&candidates[0], ReasonOnly), true
	}
	near := lowerOfTwo(candidates, true, false)
	far := lowerOfTwo(candidates, false, false)
	if own := ownWithSlot(candidates); own != nil && stays(own, near) && stays(own, far) {
		return pick(own, ReasonOwn), true
	}
	switch {
	case near != nil && (far == nil || delay(near) <= farCost*delay(far) && rand.Float64() >= spill(near, far)):
		return pick(near, ReasonLocal), true
	case far != nil:
		return pick(far, ReasonSpill), true
	}
	near = lowerOfTwo(candidates, true, true)
	far = lowerOfTwo(candidates, false, true)
	if near == nil || (far != nil && cost(far) < cost(near)) {
		near = far
	}
	return pick(near, ReasonFull), true
}

func pick(c *fireflymoor.Candidate, reason string) fireflymoor.Pick {
	return fireflymoor.Pick{
		Target: c.Target,
		Reason: reason,
	}
}

// ownWithSlot returns the target of the own instance, if it has a free slot.
func ownWithSlot(candidates []fireflymoor.Candidate) *fireflymoor.Candidate {
	for i := range candidates {
		if candidates[i].Own && used(&candidates[i]) < full {
			return &candidates[i]
		}
	}
	return nil
}

// stays says whether a call should stay in the own instance rather than go to
// another target, which may be nil.
func stays(own, other *fireflymoor.Candidate) bool {
	return other == nil || delay(own) <= ownCost*delay(other)
}

// spill is the share of the calls to the own zone, where near is, that go to
// others, where far is. It is none while near's own load is known.
func spill(near, far *fireflymoor.Candidate) float64 {
	if near.Load > 0 {
		return 0
	}
	return (near.ZoneLoad - max(far.ZoneLoad, spillFrom)) / spillWidth
}

// lowerOfTwo returns the one that costs less of two random candidates that
// are, or are not, local and full.
func lowerOfTwo(candidates []fireflymoor.Candidate, local, full bool) *fireflymoor.Candidate {
	first := choose(candidates, local, full, -1)
	if first < 0 {
		return nil
	}
	second := choose(candidates, local, full, first)
	if second >= 0 && cost(&candidates[second]) < cost(&candidates[first]) {
		first = second
	}
	return &candidates[first]
}

// choose returns a random matching index other than except, or -1.
func choose(candidates []fireflymoor.Candidate, local, full bool, except int) int {
	chosen := -1
	seen := 0
	for i := range candidates {
		if i == except || candidates[i].Local != local || isFull(&candidates[i]) != full {
			continue
		}
		seen++
		if rand.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}

// isFull says whether a target has no slot left, as far as is known.
func isFull(c *fireflymoor.Candidate) bool {
	limit := full
	if c.Local {
		limit = nearFull
	}
	return used(c) >= limit
}

// used is the share of a target's slots in use, as far as is known.
func used(c *fireflymoor.Candidate) float64 {
	return max(float64(c.InFlight)/float64(max(c.Target.Slots, 1)), c.Load)
}

// delay is how long a call takes at a target in proportion to what is usual.
// As long as a target has free slots, the calls in them do not hold up one
// more.
func delay(c *fireflymoor.Candidate) float64 {
	return c.Slowness * max(used(c), 1) / max(c.Weight, leastWeight)
}

// cost is the time that one more call would take at a target in proportion to
// what is usual: the target's slowness, times the calls that share its slots.
func cost(c *fireflymoor.Candidate) float64 {
	share := float64(c.InFlight+1) / float64(max(c.Target.Slots, 1))
	return c.Slowness * share * (1 + c.Load) / max(c.Weight, leastWeight)
}

type roundRobin struct {
	next int
}

// NewRoundRobin returns a new fireflymoor.Balancer that takes candidates in
// turn. It is the baseline that others are measured against, and is not safe
// for use by several goroutines.
func NewRoundRobin() fireflymoor.Balancer {
	return &roundRobin{}
}

// Pick implements fireflymoor.Balancer.
func (b *roundRobin) Pick(candidates []fireflymoor.Candidate, _ time.Time) (fireflymoor.Pick, bool) {
	if len(candidates) == 0 {
		return fireflymoor.Pick{}, false
	}
	b.next++
	return fireflymoor.Pick{
		Target: candidates[b.next%len(candidates)].Target,
		Reason: "next in turn",
	}, true
}
