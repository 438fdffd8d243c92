package applier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestVersionBurst has a new version arrive every 60 ms, each of which takes
// 70 ms to put in force, as on a small instance. Putting versions in force must
// take less than a quarter of the time, and a version must be put in force at
// least once a second, which is within the time that the platform allows.
func TestVersionBurst(t *testing.T) {
	is := is.New(t)
	const (
		interval = 60 * time.Millisecond
		cost     = 70 * time.Millisecond
		duration = 10 * time.Second
	)
	throttle := &Throttle{}
	began := time.Unix(1, 0)
	now, spent, lastApplied := began, time.Duration(0), began
	for now.Sub(began) < duration {
		now = now.Add(interval)
		if throttle.Wait(now) > 0 {
			is.True(now.Sub(lastApplied) < time.Second)
			continue
		}
		throttle.Applied(now, now.Add(cost))
		now = now.Add(cost)
		spent += cost
		lastApplied = now
	}
	is.True(spent < duration/4)
	is.True((&Throttle{}).Wait(now) == 0) // the first version does not wait
}
