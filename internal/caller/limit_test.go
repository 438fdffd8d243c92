package caller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// TestDelayFitsLimit guards against callers that are told to return long before the limit
// of a target admits another call: 30 times in the three seconds between two calls.
func TestDelayFitsLimit(t *testing.T) {
	route := fireflymoor.Route{
		Objective: 400 * time.Millisecond,
	}
	cases := map[string]struct {
		limitInterval, earliest, latest time.Duration
	}{
		"no limit":           {earliest: 40 * time.Millisecond, latest: 100 * time.Millisecond},
		"a high limit":       {limitInterval: 5 * time.Millisecond, earliest: 40 * time.Millisecond, latest: 100 * time.Millisecond},
		"a low limit":        {limitInterval: time.Second, earliest: time.Second, latest: 2 * time.Second},
		"more than there is": {limitInterval: time.Hour, earliest: 1500 * time.Millisecond, latest: 3 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), 9*time.Second)
				defer cancel()
				for range 100 {
					delay := retryDelay(ctx, route, fireflymoor.NotRun, c.limitInterval)
					is.True(c.earliest <= delay && delay <= c.latest)
				}
			})
		})
	}
}
