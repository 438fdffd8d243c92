package caller

import (
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/balancer"
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
	if c.onTrial {
		return c.pickTrial(h.usable(c))
	}
	share := c.view.Configuration().Limits().EjectShare
	eligible := h.options.Ejector.Filter(h.usable(c), share, now)
	candidates := make([]fireflymoor.Candidate, 0, len(eligible))
	for i := range eligible {
		candidates = append(candidates, h.options.Tracker.Candidate(eligible[i], c.service.SlowStart, now))
	}
	if c.route.Bulk {
		candidates = c.keepInZone(candidates)
	}
	candidates = notStalled(candidates)
	if h.isEven(c) {
		return h.pickEven(c, candidates, now)
	}
	return h.options.Balancer.Pick(candidates, now)
}

// isEven reports whether the calls of the call's service are balanced evenly.
func (h *Handler) isEven(c *call) bool {
	balance := c.view.Configuration().Limits().Balance
	return balance == fireflymoor.BalanceEven ||
		balance == fireflymoor.BalanceAuto && h.options.Tracker.HasReports(c.service.Name)
}

// pickEven chooses the target that the node of a full target has named, if it is a
// candidate, or the one that the even balancer picks. The load of this instance's
// target is known exactly.
func (h *Handler) pickEven(c *call, candidates []fireflymoor.Candidate, now time.Time) (fireflymoor.Pick, bool) {
	for i := range candidates {
		if !candidates[i].SameInstance || h.options.LocalLoad == nil {
			continue
		}
		if load, ok := h.options.LocalLoad(candidates[i].Target.ID); ok {
			candidates[i].Utilization = load
		}
	}
	pick, ok := h.options.EvenBalancer.Pick(candidates, now)
	if c.neighbor == "" {
		return pick, ok
	}
	for i := range candidates {
		if candidates[i].Target.ID == c.neighbor {
			pick.Target = candidates[i].Target
			pick.Reason = balancer.ReasonNeighbor
		}
	}
	c.neighbor = ""
	return pick, ok
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
