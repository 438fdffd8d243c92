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
