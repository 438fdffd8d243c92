// Package balancer implements load balancing: it picks the target for a call.
package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// fullLoad is the load at which a target in another availability zone counts
	// as full, and localFullLoad the same for a target in the local zone. The
	// local limit is higher because links between zones are expensive, so that a
	// short wait in the local zone is preferred.
	fullLoad      = 1.0
	localFullLoad = 1.5
	// minWeight bounds the weight from below, so that a target in slow start gets
	// some calls.
	minWeight = 0.05
	// spillThreshold is the mean load of the local zone above which part of its
	// calls go to other zones, if the load of the chosen target itself is not
	// known. At that mean load some targets are full. At spillRange above it all
	// of these calls go elsewhere.
	spillThreshold = 0.75
	spillRange     = 0.5
	// zoneTolerance is how many times longer a call may take in the local zone
	// than in another zone and still stay, because links between zones are
	// expensive.
	zoneTolerance = 3
	// instanceTolerance is how many times longer a call may take at the target of
	// this instance than at another target and still stay. The link of an
	// instance has little bandwidth, and a call that stays does not use it.
	instanceTolerance = 1.5
)

// Reasons for a pick, as logged.
const (
	ReasonInstance = "this instance has a slot"
	ReasonZone     = "lower cost of two in the zone"
	ReasonSpill    = "zone is full or slow, lower cost of two elsewhere"
	ReasonFull     = "all are full, lowest cost of those sampled"
	ReasonOnly     = "only candidate"
)

type twoChoices struct{}

// NewTwoChoices returns a new fireflymoor.Balancer that uses the power of two
// choices. It prefers the target of this instance while that target has a free
// slot and is not much slower than others. Otherwise it samples two random targets
// of the local availability zone and picks the target with the lower cost. Calls
// go to other zones if the local zone is much slower, and a growing share of them
// does as the local zone fills up. The cost of a target is based on the number
// and duration of the proxy's calls to it. The load that the target reports is
// only a hint.
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
	local := cheaperOfTwo(candidates, true, false)
	remote := cheaperOfTwo(candidates, false, false)
	if instance := instanceTargetWithSlot(candidates); instance != nil && staysInInstance(instance, local) && staysInInstance(instance, remote) {
		return pick(instance, ReasonInstance), true
	}
	switch {
	case local != nil && (remote == nil || relativeDelay(local) <= zoneTolerance*relativeDelay(remote) && rand.Float64() >= spillShare(local, remote)):
		return pick(local, ReasonZone), true
	case remote != nil:
		return pick(remote, ReasonSpill), true
	}
	local = cheaperOfTwo(candidates, true, true)
	remote = cheaperOfTwo(candidates, false, true)
	if local == nil || (remote != nil && cost(remote) < cost(local)) {
		local = remote
	}
	return pick(local, ReasonFull), true
}

func pick(c *fireflymoor.Candidate, reason string) fireflymoor.Pick {
	return fireflymoor.Pick{
		Target: c.Target,
		Reason: reason,
	}
}

// instanceTargetWithSlot returns the target of this instance if it has a free slot,
// or nil.
func instanceTargetWithSlot(candidates []fireflymoor.Candidate) *fireflymoor.Candidate {
	for i := range candidates {
		if candidates[i].SameInstance && utilization(&candidates[i]) < fullLoad {
			return &candidates[i]
		}
	}
	return nil
}

// staysInInstance reports whether a call should go to the target of this instance
// rather than to another target, which may be nil.
func staysInInstance(instance, other *fireflymoor.Candidate) bool {
	return other == nil || relativeDelay(instance) <= instanceTolerance*relativeDelay(other)
}

// spillShare returns the fraction of the local zone's calls that go to other zones,
// given a target of each side. Values below 0 mean none of the calls, and values
// above 1 all of them. The result is 0 if the load of the local target is known.
func spillShare(local, remote *fireflymoor.Candidate) float64 {
	if local.Load > 0 {
		return 0
	}
	return (local.ZoneLoad - max(remote.ZoneLoad, spillThreshold)) / spillRange
}

// cheaperOfTwo samples two random candidates and returns the candidate with the lower
// cost. It considers only candidates of the local zone or only others, and only full
// targets or only others, according to local and full. It returns nil if there are none.
func cheaperOfTwo(candidates []fireflymoor.Candidate, local, full bool) *fireflymoor.Candidate {
	first := randomMatch(candidates, local, full, -1)
	if first < 0 {
		return nil
	}
	second := randomMatch(candidates, local, full, first)
	if second >= 0 && cost(&candidates[second]) < cost(&candidates[first]) {
		first = second
	}
	return &candidates[first]
}

// randomMatch returns the index of a random candidate that matches local and full,
// other than except, or -1.
func randomMatch(candidates []fireflymoor.Candidate, local, full bool, except int) int {
	chosen := -1
	matches := 0
	for i := range candidates {
		if i == except || candidates[i].SameZone != local || isFull(&candidates[i]) != full {
			continue
		}
		matches++
		if rand.IntN(matches) == 0 {
			chosen = i
		}
	}
	return chosen
}

// isFull reports whether a target counts as full by what is known of it. The wait for
// the rate of a limited target is no short one.
func isFull(c *fireflymoor.Candidate) bool {
	limit := fullLoad
	if c.SameZone && !c.Limited {
		limit = localFullLoad
	}
	return utilization(c) >= limit
}

// utilization returns the known fraction of a target's slots in use. It may exceed
// 1.
func utilization(c *fireflymoor.Candidate) float64 {
	return max(float64(c.InFlight)/capacity(c), c.Load)
}

// capacity returns how many slots of a target calls can use.
func capacity(c *fireflymoor.Candidate) float64 {
	if c.Capacity > 0 {
		return c.Capacity
	}
	return float64(max(c.Target.Slots, 1))
}

// relativeDelay returns how long a call takes at a target as a multiple of the
// usual time. While a target has free slots, its calls in flight do not delay
// another call.
func relativeDelay(c *fireflymoor.Candidate) float64 {
	return c.Slowness * max(utilization(c), 1) / max(c.Weight, minWeight)
}

// cost returns the estimated time of one more call at a target as a multiple of the
// usual time. It is the target's slowness times the calls that share its slots.
func cost(c *fireflymoor.Candidate) float64 {
	share := float64(c.InFlight+1) / capacity(c)
	return c.Slowness * share * (1 + c.Load) / max(c.Weight, minWeight)
}

type roundRobin struct {
	next int
}

// NewRoundRobin returns a new fireflymoor.Balancer that picks the candidates in
// turn. It is the baseline for comparisons and is not safe for concurrent use.
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
