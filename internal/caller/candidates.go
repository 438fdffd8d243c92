package caller

import (
	"slices"

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
