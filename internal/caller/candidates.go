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

// pick chooses a target that is ready and not yet tried, or a suspected one if
// no ready target is left. It excludes ejected targets, up to the share of the
// targets that the limits allow.
func (h *Handler) pick(c *call, now time.Time) (fireflymoor.Pick, bool) {
	all := h.options.Viewer.View().Targets(c.service.Name)
	share := c.view.Configuration().Limits().EjectShare
	ready := untried(all, fireflymoor.Ready, c.view.Configuration().Team(), c.tried)
	if len(ready) == 0 {
		ready = untried(all, fireflymoor.Suspect, c.view.Configuration().Team(), c.tried)
	}
	eligible := h.options.Ejector.Filter(ready, share, now)
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
