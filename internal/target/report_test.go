package target

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/limiter"
)

// TestReportOfMisreportingTarget combines the counts of a target's node with what the
// target reports of itself. A target that claims to be idle must be overruled, one that
// claims to be full must stay available, and calls that were given up but still run
// must count.
func TestReportOfMisreportingTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]struct {
		own  fireflymoor.TargetLoad
		age  time.Duration
		load float64
		pace float64
	}{
		"no report":          {load: 0.4, pace: 1},
		"claims to be idle":  {own: fireflymoor.TargetLoad{Slots: 10, Pace: 0.01}, load: 0.4, pace: 0.01},
		"claims to be full":  {own: fireflymoor.TargetLoad{Running: 1000, Waiting: 1000, Slots: 10}, load: 0.9, pace: 1},
		"calls given up":     {own: fireflymoor.TargetLoad{Running: 7, Waiting: 1, Slots: 10, Pace: 2.5}, load: 0.7, pace: 2.5},
		"report is outdated": {own: fireflymoor.TargetLoad{Running: 7, Slots: 10, Pace: 2.5}, age: time.Second, load: 0.4, pace: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := &localTarget{limiter: limiter.New(10, 10)}
			for range 5 {
				is.NoErr(target.limiter.Acquire(t.Context(), limiter.Ticket{}))
			}
			target.own.record(c.own, now.Add(-c.age))
			report := target.report(1, now)
			is.Equal(report.Load, c.load)
			is.Equal(report.Pace, c.pace)
			is.Equal(target.isEven(fireflymoor.BalanceTwoChoices), false)
			is.Equal(target.isEven(fireflymoor.BalanceEven), true)
			is.Equal(target.isEven(fireflymoor.BalanceAuto), c.own.Pace > 0)
		})
	}
}
