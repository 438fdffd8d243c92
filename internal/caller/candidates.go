package caller

import (
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

// untried returns a team's targets in a state that the call has not been
// sent to.
func untried(all []fireflymoor.Target, state fireflymoor.TargetState, team string, tried []string) []fireflymoor.Target {
	targets := make([]fireflymoor.Target, 0, len(all))
	for i := range all {
		fits := all[i].State == state && all[i].Team == team
		if fits && !slices.Contains(tried, all[i].ID) {
			targets = append(targets, all[i])
		}
	}
	return targets
}

// moving returns the candidates at which calls come back, or all if there are
// none.
func moving(candidates []fireflymoor.Candidate) []fireflymoor.Candidate {
	kept := make([]fireflymoor.Candidate, 0, len(candidates))
	for i := range candidates {
		if !candidates[i].Stalled {
			kept = append(kept, candidates[i])
		}
	}
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

// pick chooses among the targets that are ready, not ejected and not tried
// yet; if none is left, among those that are merely suspected.
func (h *Handler) pick(c *call, now time.Time) (fireflymoor.Pick, bool) {
	all := h.options.Viewer.View().Targets(c.service.Name)
	share := c.view.Configuration().Limits().EjectShare
	ready := untried(all, fireflymoor.Ready, c.view.Configuration().Team(), c.tried)
	if len(ready) == 0 {
		ready = untried(all, fireflymoor.Suspect, c.view.Configuration().Team(), c.tried)
	}
	kept := h.options.Ejector.Keep(ready, share, now)
	candidates := make([]fireflymoor.Candidate, 0, len(kept))
	for i := range kept {
		candidates = append(candidates, h.options.Tracker.Candidate(kept[i], c.service.SlowStart, now))
	}
	return h.options.Balancer.Pick(moving(candidates), now)
}
