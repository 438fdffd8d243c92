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
