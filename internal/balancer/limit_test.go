package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// TestLimitedTargets picks among idle targets, half of which can use a sixth of their
// slots because of their limits. They get a call only if no other one is sampled.
func TestLimitedTargets(t *testing.T) {
	for name, b := range map[string]fireflymoor.Balancer{"two choices": NewTwoChoices(), "even": NewEven()} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var candidates []fireflymoor.Candidate
			for i := range 12 {
				c := fireflymoor.Candidate{
					Target: fireflymoor.Target{
						ID:    string(rune('a' + i)),
						Slots: 18,
					},
					Capacity:     18,
					Slowness:     1,
					RelativeHold: 1,
					Weight:       1,
					SameZone:     true,
				}
				if i%2 == 0 {
					c.Capacity = 3
					c.Limited = true
				}
				candidates = append(candidates, c)
			}
			limited := 0
			const calls = 6000
			for range calls {
				pick, ok := b.Pick(candidates, time.Now())
				is.True(ok)
				for i := range candidates {
					if candidates[i].Target.ID == pick.Target.ID && candidates[i].Limited {
						limited++
					}
				}
			}
			t.Logf("%d of %d calls to the limited targets", limited, calls)
			is.True(limited < calls/4)
		})
	}
}
