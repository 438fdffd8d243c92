package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// evenSamples is how many candidates of a zone are compared. Two are enough if
	// the news is fresh, but it is usually older than the calls that it counted.
	// With more than four hardly fewer calls are sent back.
	evenSamples = 4
	// evenSpillThreshold is the mean load of the local zone above which part of its
	// calls go to other zones, and evenSpillRange how far above it all of them do.
	// An evenly loaded zone needs few other targets below that load, and traffic
	// between zones is expensive.
	evenSpillThreshold = 0.9
	evenSpillRange     = 0.2
	// maxZoneFull is the share of full targets in a zone from which on no call is sent
	// back for the sake of a target there. In an overload each call would otherwise
	// cross the links three times before it waits.
	maxZoneFull = 0.6
)

// Reasons for a pick of the even balancer, as logged.
const (
	ReasonFree     = "lowest expected utilization of those sampled in the zone"
	ReasonFreeAway = "zone is full, lowest expected utilization elsewhere"
	ReasonNoneFree = "no sampled target has an expected free slot"
	ReasonNeighbor = "named by the node of a full target"
)

type even struct{}

// NewEven returns a new fireflymoor.Balancer that makes the utilization of targets
// even. It prefers the target of this instance while that target has a free slot
// and is not much slower than others. Otherwise it samples targets of the local
// availability zone in proportion to the calls that they finish, and picks the
// target with the lowest expected utilization. A growing share of the calls goes to
// other zones as the local zone fills up.
func NewEven() fireflymoor.Balancer {
	return even{}
}

// Pick implements fireflymoor.Balancer.
func (even) Pick(candidates []fireflymoor.Candidate, _ time.Time) (fireflymoor.Pick, bool) {
	if len(candidates) == 0 {
		return fireflymoor.Pick{}, false
	}
	if len(candidates) == 1 {
		return pick(&candidates[0], ReasonOnly), true
	}
	chosen, reason := pickEven(candidates)
	p := pick(chosen, reason)
	for i := range candidates {
		c := &candidates[i]
		if c != chosen && hasFreeSlot(c) && c.ZoneFull < maxZoneFull {
			p.MayRedirect = true
			break
		}
	}
	return p, true
}

// pickEven returns one of two or more candidates and the reason for it.
func pickEven(candidates []fireflymoor.Candidate) (*fireflymoor.Candidate, string) {
	local := leastUtilized(candidates, true)
	for i := range candidates {
		c := &candidates[i]
		if c.SameInstance && hasFreeSlot(c) && (local == nil || weightedHold(c) <= instanceTolerance*weightedHold(local)) {
			return c, ReasonInstance
		}
	}
	remote := leastUtilized(candidates, false)
	switch {
	case local == nil, remote != nil && leavesZone(local, remote):
		return remote, reasonFor(remote, ReasonFreeAway)
	}
	return local, reasonFor(local, ReasonFree)
}

func reasonFor(c *fireflymoor.Candidate, reason string) string {
	if !hasFreeSlot(c) {
		return ReasonNoneFree
	}
	return reason
}

// leavesZone reports whether a call goes to the best target of the other zones
// rather than to that of the local zone.
func leavesZone(local, remote *fireflymoor.Candidate) bool {
	if remote.Utilization >= evenSpillThreshold {
		return false
	}
	share := (local.ZoneLoad - max(remote.ZoneLoad, evenSpillThreshold)) / evenSpillRange
	return !hasFreeSlot(local) || rand.Float64() < share
}

// hasFreeSlot reports whether a slot of a target is expected to be free.
func hasFreeSlot(c *fireflymoor.Candidate) bool {
	// A limited target may use less than one slot, and has room nevertheless.
	slots := max(capacity(c), 1)
	return c.Utilization*slots < slots-0.5
}

// weightedHold returns how long calls hold a slot of a target, relative to others.
// It is longer for a target in slow start.
func weightedHold(c *fireflymoor.Candidate) float64 {
	return c.RelativeHold / max(c.Weight, minWeight)
}

// leastUtilized samples targets of the local zone or of others, and returns the
// one with the lowest expected utilization, or nil if there are none.
func leastUtilized(candidates []fireflymoor.Candidate, local bool) *fireflymoor.Candidate {
	var sampled [evenSamples]int
	var best *fireflymoor.Candidate
	for n := range evenSamples {
		i := sampleByRate(candidates, local, sampled[:n])
		if i < 0 {
			break
		}
		sampled[n] = i
		if best == nil || candidates[i].Utilization < best.Utilization {
			best = &candidates[i]
		}
	}
	return best
}

// sampleByRate returns the index of a random candidate of the local zone or of
// others that is not among the sampled ones, or -1. The probability is in
// proportion to the calls that a target finishes at full load.
func sampleByRate(candidates []fireflymoor.Candidate, local bool, sampled []int) int {
	chosen := -1
	total := 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.SameZone != local || slices.Contains(sampled, i) {
			continue
		}
		rate := capacity(c) / weightedHold(c)
		total += rate
		if rand.Float64()*total < rate {
			chosen = i
		}
	}
	return chosen
}
