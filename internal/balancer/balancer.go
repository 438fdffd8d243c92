// Package balancer picks the target for a call.
package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// full is the load above which a zone's target counts as full.
	full = 1.0
	// leastWeight keeps a cold target from getting no work at all.
	leastWeight = 0.05
)

// The reasons for a pick.
const (
	ReasonLocal = "lower of two in the zone"
	ReasonSpill = "zone is full, lower of two elsewhere"
	ReasonOnly  = "only candidate"
)

type twoChoices struct{}

// NewTwoChoices returns a new fireflymoor.Balancer that takes two random
// targets of the own availability zone and picks the one with less load, and
// spills over to other zones when the zone is full.
func NewTwoChoices() fireflymoor.Balancer {
	return twoChoices{}
}

// Pick implements fireflymoor.Balancer.
func (twoChoices) Pick(candidates []fireflymoor.Candidate, _ time.Time) (fireflymoor.Pick, bool) {
	if len(candidates) == 0 {
		return fireflymoor.Pick{}, false
	}
	if len(candidates) == 1 {
		return fireflymoor.Pick{
			Target: candidates[0].Target,
			Reason: ReasonOnly,
		}, true
	}
	if best := lowerOfTwo(candidates, true); best != nil && score(best) < full {
		return fireflymoor.Pick{
			Target: best.Target,
			Reason: ReasonLocal,
		}, true
	}
	return spill(candidates), true
}

// spill picks elsewhere; when all is full, the lower of any two will do.
func spill(candidates []fireflymoor.Candidate) fireflymoor.Pick {
	best := lowerOfTwo(candidates, false)
	local := lowerOfTwo(candidates, true)
	reason := ReasonSpill
	if best == nil || (local != nil && score(local) <= score(best)) {
		best = local
		reason = ReasonLocal
	}
	return fireflymoor.Pick{
		Target: best.Target,
		Reason: reason,
	}
}

// lowerOfTwo returns the less loaded of two random candidates that are, or
// are not, local.
func lowerOfTwo(candidates []fireflymoor.Candidate, local bool) *fireflymoor.Candidate {
	first := choose(candidates, local, -1)
	if first < 0 {
		return nil
	}
	second := choose(candidates, local, first)
	if second >= 0 && score(&candidates[second]) < score(&candidates[first]) {
		first = second
	}
	return &candidates[first]
}

// choose returns a random matching index other than except, or -1.
func choose(candidates []fireflymoor.Candidate, local bool, except int) int {
	chosen := -1
	seen := 0
	for i := range candidates {
		if i == except || candidates[i].Local != local {
			continue
		}
		seen++
		if rand.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}

// score is the load that a target would have by what is known: the greater of
// this proxy's own calls and what the target last said, over its weight.
func score(c *fireflymoor.Candidate) float64 {
	own := float64(c.InFlight) / float64(max(c.Target.Slots, 1))
	return max(own, c.Load) / max(c.Weight, leastWeight)
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
