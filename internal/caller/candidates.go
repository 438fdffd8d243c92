package caller

import (
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

// untried returns the targets of a team in the given state that the call has
// not been sent to.
func untried(all []fireflymoor.Target, state fireflymoor.TargetState, team string, tried []string) []fireflymoor.Target {
	targets := make([]fireflymoor.Target, 0, len(all))
	for i := range all {
		matches := all[i].State == state && all[i].Team == team
		if matches && !slices.Contains(tried, all[i].ID) {
			targets = append(targets, all[i])
		}
	}
	return targets
}

// notStalled returns the candidates that are not stalled, or all of them if
// every candidate is stalled.
func notStalled(candidates []fireflymoor.Candidate) []fireflymoor.Candidate {
	filtered := make([]fireflymoor.Candidate, 0, len(candidates))
	for i := range candidates {
		if !candidates[i].Stalled {
			filtered = append(filtered, candidates[i])
		}
	}
	if len(filtered) == 0 {
		return candidates
	}
	return filtered
}

// pick chooses one of the usable targets. It excludes ejected targets, up to the
// share of the targets that the limits allow.
func (h *Handler) pick(c *call, now time.Time) (fireflymoor.Pick, bool) {
	share := c.view.Configuration().Limits().EjectShare
	eligible := h.options.Ejector.Filter(h.usable(c), share, now)
	candidates := make([]fireflymoor.Candidate, 0, len(eligible))
	for i := range eligible {
		candidates = append(candidates, h.options.Tracker.Candidate(eligible[i], c.service.SlowStart, now))
	}
	if c.route.Bulk {
		candidates = c.keepInZone(candidates)
	}
	return h.options.Balancer.Pick(notStalled(candidates), now)
}

// keepInZone returns the candidates in the availability zone of this node if there were
// any at the first try of a bulk call, and all candidates otherwise. Links between zones
// are expensive, and bulk calls can wait.
func (c *call) keepInZone(candidates []fireflymoor.Candidate) []fireflymoor.Candidate {
	var local []fireflymoor.Candidate
	for i := range candidates {
		if candidates[i].SameZone {
			local = append(local, candidates[i])
		}
	}
	c.inZone = c.inZone || len(c.tried) == 0 && len(local) > 0
	if c.inZone {
		return local
	}
	return candidates
}
